/** Whether a task with this laxity may run at the speed, 1 being normal, without losing its objective; times in milliseconds. */
export const hasTimeAtSpeed = (laxity: number, runTime: number, speed: number): boolean =>
    laxity >= runTime * (1 / speed - 1);
