/** Longest `spec` of a job that callers may send. */
export const MAX_SPEC_BYTES = 4000;

/** Units in all steps of a job; keeps the progress of one job well under the store's limit for a value. */
export const MAX_UNITS_PER_JOB = 5000;

export const MAX_STEPS_PER_JOB = 256;

/** Version of the stored records; instances refuse records of a newer version. */
export const RECORD_VERSION = 1;
