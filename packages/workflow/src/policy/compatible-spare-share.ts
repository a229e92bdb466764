/** Probability (0 to 1) that spare-CPU tasks of the second image hardly slow serving tasks of the first. */
export type HarmlessProbability = (servingImage: string, spareImage: string) => number;

/**
 * Share (0 to 1) of the demand for spare CPU that a worker can run beside serving tasks of the given images; 1 where
 * there is no demand. Each further serving image lowers it, unless both tolerate the same spare-CPU images.
 *
 * @param spareDemand Demand by spare-CPU image, in any unit.
 */
export const compatibleSpareShare = (
    servingImages: readonly string[],
    spareDemand: ReadonlyMap<string, number>,
    harmlessProbability: HarmlessProbability,
): number => {
    let value = 0;
    let total = 0;
    for (const [spareImage, demand] of spareDemand) {
        total += demand;
        value += servingImages.reduce((left, image) => left * harmlessProbability(image, spareImage), demand);
    }
    return total > 0 ? value / total : 1;
};
