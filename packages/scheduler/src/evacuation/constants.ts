/** Interval of the checks whether a reload of the settings has brought a bound for evacuations. */
export const SETTINGS_CHECK_MS = 1000;
