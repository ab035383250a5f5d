import {planPass} from '@bergamotgauge/placement';
import type {Policy} from '../types.js';

export const OURS: Policy = {name: 'ours', isOurs: true, decide: (view) => planPass(view)};
