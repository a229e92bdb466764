/**
 * Parts of a timeout, each of which ends after the process has read from its sockets. In two, a process that is late
 * can establish a connection and send a call in the first, and read its answer in the second.
 */
const partCount = 2;

/**
 * Starts the timeout of an answer that this process receives from a socket, and returns a function that stops it.
 * `giveUp` is called after `milliseconds`; later if the process was late, since Node.js runs due timers before it reads
 * its sockets, and an answer that has not been read is not a missing one.
 */
export const startAnswerTimeout = (milliseconds: number, giveUp: () => void): () => void => {
    let timer: NodeJS.Timeout;
    let immediate: NodeJS.Immediate | undefined;
    const startPart = (part: number): void => {
        timer = setTimeout(() => {
            // Immediates run after the sockets have been read.
            immediate = setImmediate(() => {
                if (part < partCount) {
                    startPart(part + 1);
                }
                else {
                    giveUp();
                }
            });
        }, milliseconds / partCount);
    };
    startPart(1);
    return () => {
        clearTimeout(timer);
        clearImmediate(immediate);
    };
};
