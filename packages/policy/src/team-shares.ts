import type { EnvironmentDocument, Resources } from "@jayfront/world";
import { addResources, noResources, resourceDimensions } from "@jayfront/world";

/** What each team's batch tasks take, and who is due next by weighted dominant-resource fairness. */
export interface TeamShares {
    readonly add: (team: string, batchClass: string, resources: Resources, factor: 1 | -1) => void;
    readonly setCapacity: (capacity: Resources) => void;
    /** Largest share that the team takes of any resource or of the tail room, divided by its weight. */
    readonly weightedShare: (team: string) => number;
    /** Whether the team may take `resources` more under its quota. */
    readonly isWithinQuota: (team: string, resources: Resources) => boolean;
}

/** Options of {@link createTeamShares}. */
export interface TeamSharesOptions {
    readonly document: () => EnvironmentDocument;
    /** Share of one worker's tail room that a task of the class takes. */
    readonly tailHeadroomShare: (batchClass: string) => number;
    /** Workers that the tail room is spread over. */
    readonly workerCount: () => number;
}

/** Creates shares in which no team takes anything. */
export const createTeamShares = (
    { document, tailHeadroomShare: tailRoom, workerCount: workers }: TeamSharesOptions,
): TeamShares => {
    const taken = new Map<string, Resources>();
    /** Running tasks by team and class. */
    const running = new Map<string, Map<string, number>>();
    let capacity = noResources;
    const shareOf = (resources: Resources): number =>
        Math.max(
            ...resourceDimensions.map(dimension =>
                resources[dimension] <= 0 ? 0 : resources[dimension] / Math.max(1e-9, capacity[dimension])
            ),
        );
    const roomOf = (team: string): number => {
        let room = 0;
        for (const [batchClass, count] of running.get(team) ?? []) {
            room += count * tailRoom(batchClass);
        }
        return room / Math.max(1, workers());
    };
    return {
        add: (team, batchClass, resources, factor) => {
            const classes = running.get(team) ?? new Map<string, number>();
            classes.set(batchClass, (classes.get(batchClass) ?? 0) + factor);
            running.set(team, classes);
            taken.set(team, addResources(taken.get(team) ?? noResources, resources, factor));
        },
        setCapacity: next => {
            capacity = next;
        },
        weightedShare: team =>
            Math.max(shareOf(taken.get(team) ?? noResources), roomOf(team)) / (document().teams[team]?.weight ?? 1),
        isWithinQuota: (team, resources) => {
            const quota = document().teams[team]?.quota ?? 1;
            return quota >= 1 || shareOf(addResources(taken.get(team) ?? noResources, resources)) <= quota + 1e-9;
        },
    };
};
