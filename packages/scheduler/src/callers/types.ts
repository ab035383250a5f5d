import type {Queue} from '../types.js';

/** Identifies a job by its queue, customer and id. */
export type JobAddress = Readonly<{queue: Queue; customer: string; id: string}>;
