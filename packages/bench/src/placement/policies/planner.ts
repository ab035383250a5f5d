import {planPass} from '@bergamotgauge/placement';
import type {Policy} from '../types.js';

/** The planner of the placement package, which results call `ours`. */
export const PLANNER: Policy = {name: 'ours', isPlanner: true, decide: (view) => planPass(view)};
