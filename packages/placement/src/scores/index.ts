import type {Score} from '../types.js';
import {borrowingScore} from './borrowing.js';
import {endDistanceScore} from './end-distance.js';
import {fragmentationScore} from './fragmentation.js';

export const SCORES: readonly Score[] = [fragmentationScore, endDistanceScore, borrowingScore];
