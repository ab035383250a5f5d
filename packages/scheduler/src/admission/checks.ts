import {checkFleet} from './fleet.js';
import {checkMemory} from './memory.js';
import {checkValue} from './value.js';
import type {AdmissionCheck} from './types.js';

/** In the order in which they are made; what can never run is refused as such. */
export const ADMISSION_CHECKS: readonly AdmissionCheck[] = [checkFleet, checkMemory, checkValue];
