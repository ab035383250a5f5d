/** Maximum size of the `spec` of a submitted job. */
export const MAX_SPEC_BYTES = 4000;

/** Maximum units in all steps and occurrences of a job; keeps the progress record of one job well below the store's size limit for a value, and the overdue occurrences that a leader creates at once within its memory. */
export const MAX_UNITS_PER_JOB = 5000;

export const MAX_STEPS_PER_JOB = 256;

/** Version of the stored records; instances refuse to read records of a newer version. */
export const RECORD_VERSION = 1;
