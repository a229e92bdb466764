import type { HiddenBehaviour } from "@jayfront/platform-stand-in";

/** Options of {@link createSmallDocument}. */
export interface SmallDocumentOptions {
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    /** Number of cells in each failure domain. */
    readonly cells: number;
    /** Limit of requests per second and team. Default: not set in the document. */
    readonly requestsPerTeam?: number;
}

/** Creates an environment document with two services and two batch classes, TOML. */
export const createSmallDocument = ({ regions, cells, requestsPerTeam }: SmallDocumentOptions): string => `
[teams.quick]
weight = 2

[teams.bulk]

[services.render]
team = "quick"
targetMs = 250
deadlineMs = 4000
endpoint = { cores = 2, memory = 8 }

[services.email]
team = "quick"
targetMs = 500
deadlineMs = 4000
idempotent = false
endpoint = { cores = 1, memory = 4 }

[batchClasses.path]

[batchClasses.sync]
${
    Object.entries(regions)
        .map(([domain, region]) => `\n[failureDomains.${domain}]\nregion = "${region}"\ncells = ${String(cells)}\n`)
        .join("")
}${requestsPerTeam === undefined ? "" : `\n[limits]\nrequestsPerTeam = ${String(requestsPerTeam)}\n`}`;

/** Environment document of most tests: three failure domains in two regions. */
export const smallDocument = createSmallDocument({
    regions: { "east-a": "east", "east-b": "east", "west-a": "west" },
    cells: 3,
});

/** Behaviour of the simulated services and workers, hidden from the scheduler, that goes with {@link smallDocument}. */
export const smallHiddenBehaviour: HiddenBehaviour = {
    services: { render: { median: 40, spread: 2.5 }, email: { median: 20, spread: 2 } },
    disturbance: { "render/path": 0.02, "render/sync": 0.1 },
    reserved: { cores: 3, memory: 12, accelerators: 0 },
};
