// Exports only the parts of undici that the bundle needs. The main module also loads fetch, WebSocket, caches and
// proxies, which are unused and would take memory in each process.
const buildConnector = require('undici-library/lib/core/connect.js');
const Pool = require('undici-library/lib/dispatcher/pool.js');

module.exports = {buildConnector, Pool};
