/** A serving task as one report of its worker shows it. */
export interface ServingSample {
    /** Tasks of one workflow share their users, so that their load rises and falls together. */
    readonly job: string;
    readonly image: string;
    /** Milliseconds. */
    readonly tail: number;
    /** Milliseconds. */
    readonly target: number;
}

/** What takes spare processor time on a worker, as shares of the worker's capacity by image. */
export type SpareMix = ReadonlyMap<string, number>;

/**
 * How tasks on spare processor time lengthen the tails of serving tasks, learned from reports.
 *
 * A tail behaves like that of a queue: its inverse falls in proportion to the load of the task itself and to the
 * processor share of its neighbours, by a factor that depends on both images. All figures are speeds: answers a
 * second, 1,000 divided by the tail in ms.
 */
export interface PressureModel {
    /** Learns from one report of a worker; `now` in ms of a steady clock. */
    readonly learn: (samples: readonly ServingSample[], mix: SpareMix, now: number) => void;
    /** Speed that a task of the workflow has now beside nobody. */
    readonly ownSpeed: (job: string, target: number) => number;
    /** Speed that it keeps at the load to be expected within some ten seconds. */
    readonly floorSpeed: (job: string, target: number) => number;
    /** Loss of speed of the serving image for each whole worker's worth of the other. */
    readonly pressure: (servingImage: string, spareImage: string) => number;
    /** Loss of speed of the serving image beside all of the mix. */
    readonly loss: (servingImage: string, mix: SpareMix) => number;
    readonly forgetJob: (job: string) => void;
}

interface Pair {
    weight: number;
    /** Reports that moved the weight. */
    samples: number;
}

interface Load {
    speed: number;
    floor: number;
    seenAt: number;
}

/** Speed lost to one whole worker's worth of an unknown image, as a multiple of the speed at the target. */
const unknownPressure = 3;
/** Reports after which a pair's own weight counts fully against that of an unknown one. */
const enoughSamples = 3;
/** Step of the correction of weights at each report, between 0 and 1. */
const learningRate = 0.25;
/** Added to the squared shares in a correction, so that tiny shares don't move weights far. */
const shareFloor = 0.01;
/** Weight of a report beside nobody in the estimate of a task's own speed, and of one beside others. */
const ownWeight = { alone: 0.6, pressed: 0.12 } as const;
/** Share of the target's speed below which a tail is so long that it tells only that there is too much pressure. */
const saturatedShare = 0.2;
/** Milliseconds in which the floor forgets two thirds of how slow a task once was; some periods of load. */
const floorMemory = 25_000;
/** Share of the present speed that is expected as floor of a workflow that was not seen for long. */
const firstFloorShare = 0.65;
/** Speed that is expected of an unseen task, as a multiple of that at its target. */
const unseenSpeed = 2.2;

const speedOf = (milliseconds: number): number => 1_000 / Math.max(1, milliseconds);

/** Creates a model that has seen nothing. */
export const createPressureModel = (): PressureModel => {
    const pairs = new Map<string, Pair>();
    const loads = new Map<string, Load>();
    let targetSpeed = speedOf(50);

    const pairOf = (servingImage: string, spareImage: string): Pair => {
        const key = `${servingImage} ${spareImage}`;
        const known = pairs.get(key) ?? { weight: unknownPressure * targetSpeed, samples: 0 };
        pairs.set(key, known);
        return known;
    };
    const pressure = (servingImage: string, spareImage: string): number => {
        const { weight, samples } = pairOf(servingImage, spareImage);
        const trust = Math.min(1, samples / enoughSamples);
        return trust * weight + (1 - trust) * unknownPressure * targetSpeed;
    };
    const loss = (servingImage: string, mix: SpareMix): number => {
        let sum = 0;
        for (const [image, share] of mix) {
            sum += pressure(servingImage, image) * share;
        }
        return sum;
    };
    const noteLoad = (job: string, speed: number, weight: number, now: number): void => {
        const known = loads.get(job);
        if (known === undefined) {
            loads.set(job, { speed, floor: speed * firstFloorShare, seenAt: now });
            return;
        }
        known.speed += weight * (speed - known.speed);
        const memory = Math.exp(-(now - known.seenAt) / floorMemory);
        known.floor = Math.min(known.speed, known.floor * memory + known.speed * (1 - memory));
        known.seenAt = now;
    };
    const correct = (sample: ServingSample, mix: SpareMix, own: number): void => {
        const speed = speedOf(sample.tail);
        const predicted = own - loss(sample.image, mix);
        const saturated = speedOf(sample.target) * saturatedShare;
        if (speed < saturated && predicted < saturated) {
            return;
        }
        const error = Math.max(predicted, 0) - speed;
        let norm = shareFloor;
        for (const share of mix.values()) {
            norm += share * share;
        }
        for (const [image, share] of mix) {
            const pair = pairOf(sample.image, image);
            pair.weight = Math.max(0, pair.weight + learningRate * error * share / norm);
            pair.samples += 1;
        }
    };
    return {
        learn: (samples, mix, now) => {
            for (const sample of samples) {
                targetSpeed = speedOf(sample.target);
                const speed = speedOf(sample.tail);
                if (mix.size === 0) {
                    noteLoad(sample.job, speed, ownWeight.alone, now);
                    continue;
                }
                const own = loads.get(sample.job)?.speed;
                if (own !== undefined) {
                    correct(sample, mix, own);
                }
                if (speed >= targetSpeed * saturatedShare) {
                    noteLoad(sample.job, speed + loss(sample.image, mix), ownWeight.pressed, now);
                }
            }
        },
        ownSpeed: (job, target) => loads.get(job)?.speed ?? speedOf(target) * unseenSpeed,
        floorSpeed: (job, target) => loads.get(job)?.floor ?? speedOf(target) * unseenSpeed * firstFloorShare,
        pressure,
        loss,
        forgetJob: job => {
            loads.delete(job);
        },
    };
};
