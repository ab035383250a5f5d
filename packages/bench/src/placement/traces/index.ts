import type {TraceFactory} from '../types.js';
import {DAYS} from './days.js';
import {TWO_YEAR} from './two-year.js';

export const TRACES: readonly TraceFactory[] = [...DAYS, TWO_YEAR];
