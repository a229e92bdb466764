/**
 * Line (from 1) of the TOML key or table at `path`, or of its nearest parent; undefined where `text` contains none of
 * them.
 */
export const locateTomlKey = (text: string, path: readonly PropertyKey[]): number | undefined => {
    const lines = text.split("\n");
    for (let depth = path.length; depth > 0; depth -= 1) {
        const table = path.slice(0, depth - 1).join(".");
        const key = String(path[depth - 1]);
        const tableHeader = `[${path.slice(0, depth).join(".")}]`;
        let currentTable = "";
        for (const [index, line] of lines.entries()) {
            const trimmed = line.trim();
            if (trimmed.startsWith("[")) {
                currentTable = trimmed.slice(1, trimmed.indexOf("]")).replaceAll('"', "");
            }
            const isKey = currentTable === table && [key, `"${key}"`].includes(trimmed.split("=")[0]?.trim() ?? "")
                && trimmed.includes("=");
            if (isKey || trimmed.replaceAll('"', "").startsWith(tableHeader)) {
                return index + 1;
            }
        }
    }
    return undefined;
};
