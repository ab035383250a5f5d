export type * from './types.js';
export {createBodyBudget, type BodyBudget, type Holding} from './body-budget.js';
export {DEFAULT_LIMITS, LIMIT_NAMES} from './constants.js';
export {createIngress, type HeadLimits, type Ingress} from './ingress.js';
export {estimateJsonCost} from './json-cost.js';
export {createLimits} from './limits.js';
