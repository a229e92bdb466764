import type { HiddenBehaviour } from "@jayfront/platform-stand-in";

/** A batch class with its simulated jobs. */
export interface BenchBatchClass {
    readonly team: string;
    /** Seconds that a task runs at full speed, whatever its job declares. */
    readonly actualRunTime: number;
    readonly cores: number;
    /** GB that a task uses, whatever its job declares. */
    readonly actualMemory: number;
    /** Number of tasks of each job. */
    readonly taskCount: number;
    /** Share of the submitted core-seconds. */
    readonly workShare: number;
    /** Seconds from the acceptance of a job to its deadline. */
    readonly secondsToDeadline: number;
}

/** Workers, service and batch classes of one user: a small version of one of the user's failure domains. */
export interface UserWorkload {
    readonly name: string;
    /** Number of workers. */
    readonly workers: number;
    /** Cores of each worker. */
    readonly cores: number;
    /** GB of each worker. */
    readonly memory: number;
    /** Slots of each worker. */
    readonly slots: number;
    /** Service whose tail latency is measured. */
    readonly service: string;
    readonly targetMs: number;
    readonly batchClasses: Readonly<Record<string, BenchBatchClass>>;
    /** Environment document, TOML. */
    readonly document: string;
    /** Behaviour of the simulated service and workers, hidden from the scheduler. */
    readonly hidden: HiddenBehaviour;
}

const createDocument = (
    service: string,
    targetMs: number,
    endpointCores: number,
    teams: string,
    classes: readonly string[],
): string => `
${teams}

[services.${service}]
team = "quick"
targetMs = ${String(targetMs)}
deadlineMs = 5000
endpoint = { cores = ${String(endpointCores)}, memory = 16 }

${classes.map(name => `[batchClasses.${name}]\nevictions = 2\n`).join("\n")}

[failureDomains.one]
region = "one"
cells = 1
`;

/** Granite Vale: toolpaths and catalog syncs beside proof renders on large workers. */
const graniteVale: UserWorkload = {
    name: "granite-vale",
    workers: 6,
    cores: 64,
    memory: 250,
    slots: 8,
    service: "render",
    targetMs: 250,
    batchClasses: {
        toolpath: {
            team: "engraving",
            actualRunTime: 8,
            cores: 2,
            actualMemory: 4,
            taskCount: 40,
            workShare: 0.6,
            secondsToDeadline: 90,
        },
        sync: {
            team: "catalog",
            actualRunTime: 12,
            cores: 2,
            actualMemory: 6,
            taskCount: 20,
            workShare: 0.4,
            secondsToDeadline: 150,
        },
    },
    document: createDocument(
        "render",
        250,
        8,
        "[teams.quick]\nweight = 2\n\n[teams.engraving]\nweight = 3\n\n[teams.catalog]\nweight = 2",
        ["toolpath", "sync"],
    ),
    hidden: {
        services: { render: { median: 60, spread: 2.5 } },
        disturbance: { "render/toolpath": 0.01, "render/sync": 0.025 },
        reserved: { cores: 8, memory: 16, accelerators: 0 },
    },
};

/** Sabla: plate batches and long colour matching beside mockups on smaller workers. */
const sabla: UserWorkload = {
    name: "sabla",
    workers: 6,
    cores: 32,
    memory: 125,
    slots: 8,
    service: "mockup",
    targetMs: 180,
    batchClasses: {
        plate: {
            team: "press",
            actualRunTime: 6,
            cores: 2,
            actualMemory: 4,
            taskCount: 30,
            workShare: 0.5,
            secondsToDeadline: 75,
        },
        colour: {
            team: "hotels",
            actualRunTime: 25,
            cores: 1,
            actualMemory: 3,
            taskCount: 12,
            workShare: 0.5,
            secondsToDeadline: 240,
        },
    },
    document: createDocument(
        "mockup",
        180,
        6,
        "[teams.quick]\nweight = 3\n\n[teams.press]\nweight = 1\n\n[teams.hotels]\nweight = 1",
        ["plate", "colour"],
    ),
    hidden: {
        services: { mockup: { median: 45, spread: 2.3 } },
        disturbance: { "mockup/plate": 0.015, "mockup/colour": 0.025 },
        reserved: { cores: 6, memory: 16, accelerators: 0 },
    },
};

/** The workloads of both users. */
export const userWorkloads: readonly UserWorkload[] = [graniteVale, sabla];
