export type * from './types.js';
export * from './constants.js';
export {createFrameReader, encodeFrame} from './frame.js';
export {createMembership, type Membership, type OwnHeartbeat} from './membership.js';
export {ownerOf, rankMembers} from './ownership.js';
export {createPeerLink, type PeerLink} from './peer-link.js';
export {startPeerServer} from './peer-server.js';
