import type { EnvironmentDocument, Resources } from "@jayfront/world";
import { addResources, noResources, resourceDimensions } from "@jayfront/world";

/** Resources that each team's batch tasks hold, and the teams' shares by weighted dominant resource fairness. */
export interface TeamShares {
    /** Adds (`factor` 1) or removes (-1) the resources of one task. */
    readonly add: (team: string, batchClass: string, resources: Resources, factor: 1 | -1) => void;
    /** Sets the total resources, of which shares are computed. */
    readonly setCapacity: (capacity: Resources) => void;
    /** Largest share that the team holds of any resource or of the tail latency headroom, divided by its weight. */
    readonly weightedShare: (team: string) => number;
    /** Whether the team stays within its quota with `resources` more. */
    readonly isWithinQuota: (team: string, resources: Resources) => boolean;
}

/** Options of {@link createTeamShares}. */
export interface TeamSharesOptions {
    /** Current environment document. */
    readonly document: () => EnvironmentDocument;
    /** Share of one worker's tail latency headroom that a task of the class takes, from 0 to 1. */
    readonly tailHeadroomShare: (batchClass: string) => number;
    /** Number of workers whose headroom the teams share. */
    readonly workerCount: () => number;
}

/** Creates shares in which no team holds anything. */
export const createTeamShares = ({ document, tailHeadroomShare, workerCount }: TeamSharesOptions): TeamShares => {
    const held = new Map<string, Resources>();
    /** Number of tasks that hold resources, by team and class. */
    const taskCounts = new Map<string, Map<string, number>>();
    let capacity = noResources;
    const shareOf = (resources: Resources): number =>
        Math.max(
            ...resourceDimensions.map(dimension =>
                resources[dimension] <= 0 ? 0 : resources[dimension] / Math.max(1e-9, capacity[dimension])
            ),
        );
    const headroomShareOf = (team: string): number => {
        let share = 0;
        for (const [batchClass, count] of taskCounts.get(team) ?? []) {
            share += count * tailHeadroomShare(batchClass);
        }
        return share / Math.max(1, workerCount());
    };
    return {
        add: (team, batchClass, resources, factor) => {
            const classes = taskCounts.get(team) ?? new Map<string, number>();
            classes.set(batchClass, (classes.get(batchClass) ?? 0) + factor);
            taskCounts.set(team, classes);
            held.set(team, addResources(held.get(team) ?? noResources, resources, factor));
        },
        setCapacity: next => {
            capacity = next;
        },
        weightedShare: team =>
            Math.max(shareOf(held.get(team) ?? noResources), headroomShareOf(team))
            / (document().teams[team]?.weight ?? 1),
        isWithinQuota: (team, resources) => {
            const quota = document().teams[team]?.quota ?? 1;
            return quota >= 1 || shareOf(addResources(held.get(team) ?? noResources, resources)) <= quota + 1e-9;
        },
    };
};
