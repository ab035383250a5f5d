import {v7 as uuidv7} from 'uuid';

/** Creates a job id. Ids sort by creation time. */
export const newJobId = (): string => uuidv7();

/** Creates a request id. Ids sort by creation time. */
export const newRequestId = (): string => uuidv7();
