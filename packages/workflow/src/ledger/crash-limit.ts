/** Sum of weights at which a task is given up: two crashes if one can have no other cause, else three. */
export const crashLimit = 3;
