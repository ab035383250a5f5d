import {v7 as uuidv7} from 'uuid';

/** A new job id; ids sort by time of creation. */
export const newJobId = (): string => uuidv7();

/** A new request id; ids sort by time of creation. */
export const newRequestId = (): string => uuidv7();
