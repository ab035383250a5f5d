import type {Policy} from '../types.js';
import {EASY_BACKFILL} from './easy-backfill.js';
import {FIFO_BEST_FIT, FIFO_FIRST_FIT} from './fifo.js';
import {PLANNER} from './planner.js';
import {SKIPPING_FIRST_FIT} from './skipping-first-fit.js';

export const POLICIES: readonly Policy[] = [FIFO_FIRST_FIT, FIFO_BEST_FIT, EASY_BACKFILL, SKIPPING_FIRST_FIT, PLANNER];
