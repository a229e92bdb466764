/** Probability (0 to 1) that tasks of the second image hardly disturb serving tasks of the first. */
export type HarmlessProbability = (servingImage: string, spareImage: string) => number;

/**
 * Share of the work on spare processor time, weighed by how much of each image there is, that a worker can take beside
 * serving tasks of the given images. Each further image makes it smaller, unless both bear the same neighbours.
 */
export const compatibleSpareShare = (
    servingImages: readonly string[],
    spareDemand: ReadonlyMap<string, number>,
    harmlessness: HarmlessProbability,
): number => {
    let value = 0;
    let total = 0;
    for (const [spareImage, demand] of spareDemand) {
        total += demand;
        value += servingImages.reduce((left, image) => left * harmlessness(image, spareImage), demand);
    }
    return total > 0 ? value / total : 1;
};
