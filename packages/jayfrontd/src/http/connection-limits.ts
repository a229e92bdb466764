import { getHeapStatistics } from "node:v8";

import type { Settings } from "../settings.js";

/** What a server grants to the connections of one port. */
export interface PortLimits {
    /** Connections that are open at a time. */
    readonly connections: number;
    /** Requests of one connection that are unanswered, or whose answers are unread, at a time. */
    readonly requestsPerConnection: number;
    /** Milliseconds from the start of a request until its header is complete. */
    readonly headerTime: number;
    /** Milliseconds from the start of a request until it is complete. */
    readonly requestTime: number;
    /** Milliseconds for which a connection may be idle, or its answers unread. */
    readonly idleTime: number;
}

/** Limits of a process by which no client can exhaust its memory or descriptors. */
export interface ConnectionLimits {
    /** Bytes that all requests of callers hold at a time. */
    readonly requestBytes: number;
    /** Bytes of the workflows that wait for the store at a time. */
    readonly waitingBytes: number;
    /** Bytes of the accepted workflows that the cells of this host have in memory. */
    readonly workflowBytes: number;
    readonly callers: PortLimits;
    /** The port of other hosts; they are not limited once they have authenticated themselves. */
    readonly peers: PortLimits;
    /** Each of the ports for operators and the platform. */
    readonly operators: PortLimits;
}

const megabyte = 1_024 * 1_024;
/** Share of the memory for the requests of callers, for their connections, and for workflows that wait for the store. */
const memoryShare = 1 / 8;
/** Share of the memory for accepted workflows. */
const workflowShare = 0.3;
/** Bytes that a connection holds at most with the header of an incomplete request, 16 KB, and its buffers. */
const connectionBytes = 32 * 1_024;
/** Descriptors that the platform reserves for files. */
const fileReserve = 200;
/** Shares of the other descriptors for callers and for peers until they are authenticated; the rest is for all else. */
const callerDescriptorShare = 1 / 2;
const peerDescriptorShare = 1 / 4;
/** Connections at a time of operators, on each of their ports; they poll about once a second. */
const operatorConnections = 32;
/** Requests of one connection at a time on the ports that are not for callers; their users send one after another. */
const otherRequestsPerConnection = 8;

/** Derives the limits from the settings and the limit of the heap. */
export const deriveConnectionLimits = (settings: Settings["connections"]): ConnectionLimits => {
    const { memoryMb, fileDescriptors, requestsPerConnection, headerTime, requestTime, idleTime } = settings;
    const memory = Math.min(memoryMb * megabyte, getHeapStatistics().heap_size_limit);
    const bytes = memory * memoryShare;
    const descriptors = Math.max(fileDescriptors - fileReserve, 0);
    const connectionsFor = (share: number): number =>
        Math.max(1, Math.floor(Math.min(descriptors * share, bytes / connectionBytes)));
    const times = { headerTime, requestTime, idleTime };
    const others = { ...times, requestsPerConnection: otherRequestsPerConnection };
    return {
        requestBytes: bytes,
        waitingBytes: bytes,
        workflowBytes: memory * workflowShare,
        callers: { ...times, requestsPerConnection, connections: connectionsFor(callerDescriptorShare) },
        peers: { ...others, connections: connectionsFor(peerDescriptorShare) },
        operators: { ...others, connections: operatorConnections },
    };
};
