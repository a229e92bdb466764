import Table from "cli-table3";

/** Formats a table for a terminal, without borders. */
export const formatTable = (head: readonly string[], rows: readonly (readonly (string | number)[])[]): string => {
    const table = new Table({
        head: [...head],
        style: { head: [], border: [], compact: true, "padding-left": 0, "padding-right": 2 },
        chars: {
            top: "",
            "top-mid": "",
            "top-left": "",
            "top-right": "",
            bottom: "",
            "bottom-mid": "",
            "bottom-left": "",
            "bottom-right": "",
            left: "",
            "left-mid": "",
            mid: "",
            "mid-mid": "",
            right: "",
            "right-mid": "",
            middle: "",
        },
    });
    table.push(...rows.map(row => row.map(String)));
    return table.toString();
};
