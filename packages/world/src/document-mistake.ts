/** An error in a TOML document. */
export interface DocumentMistake {
    /** Line, from 1; undefined where a top-level key is missing. */
    readonly line: number | undefined;
    /** Dotted path of the key; empty for the whole document. */
    readonly key: string;
    /** What is wrong, what was found, and how to correct it. */
    readonly message: string;
}
