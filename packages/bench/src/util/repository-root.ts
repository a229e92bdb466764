import { existsSync } from "node:fs";
import { dirname, join } from "node:path";

const findRoot = (folder: string): string =>
    existsSync(join(folder, "tsconfig.base.json")) ? folder : findRoot(dirname(folder));

/** Root folder of the repository, found both from the sources and from the built files. */
export const repositoryRoot = findRoot(import.meta.dirname);
