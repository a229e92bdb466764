import type { EndpointInterface } from "./endpoint-interface.js";
import type { LiveList } from "./live-list.js";
import type { ObjectStore } from "./object-store.js";
import type { Table } from "./table.js";
import type { WorkerInterface } from "./worker-interface.js";

/** The interfaces of the platform that jayfront uses. */
export interface Platform {
    readonly table: Table;
    readonly objects: ObjectStore;
    readonly liveList: LiveList;
    readonly workers: WorkerInterface;
    readonly endpoints: EndpointInterface;
}
