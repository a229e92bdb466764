/** Number of tasks that finished more than once according to the entries of the stand-in's journal. */
export const countTasksFinishedTwice = (
    entries: readonly { readonly kind: string; readonly subject: string; readonly detail: string; }[],
): number => {
    const finished = new Map<string, number>();
    for (const entry of entries) {
        if (entry.kind === "task-ended" && entry.detail === "finished") {
            finished.set(entry.subject, (finished.get(entry.subject) ?? 0) + 1);
        }
    }
    return [...finished.values()].filter(count => count > 1).length;
};
