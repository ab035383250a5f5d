export type * from './types.js';
export {diffDeclarations, EMPTY_DECLARATIONS} from './diff.js';
export {loadDirectory, loadTexts} from './load.js';
export {createOperatorClient, type OperatorClient} from './operator-client.js';
export {createOperatorRouter, type OperatorService} from './router.js';
export {threeWayDiff, type DifferenceKind, type ThreeWayDifference} from './three-way-diff.js';
