/**
 * Assumed speed of a worker that is cold: the platform tells for how long, but not by how much. An objective allows for
 * 1.5 times the expected time at least, so that a run on a cold worker may take all of that.
 */
export const coldWorkerSpeed = 1 / 1.5;
