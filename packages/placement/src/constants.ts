/** A checkpoint may take this many times its declared length before the tasks are stopped. */
export const CHECKPOINT_GRACE_FACTOR = 2;
