/** Host names and IP numbers, without the characters that would end the host part of a URL. */
const addressPattern = /^[A-Za-z0-9_.+-]+:([1-9][0-9]{0,4})$/;
const largestPort = 65_535;

/** Whether a text is a `host:port` to which a connection can be opened. */
export const isSocketAddress = (text: string): boolean => {
    const port = addressPattern.exec(text)?.[1];
    return port !== undefined && Number(port) <= largestPort;
};
