// Exports only the parts of undici that the bundle needs. The main module also loads fetch, WebSocket, caches and
// proxies, which are unused and would take memory in each process.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
const Pool = require('../node_modules/undici/lib/dispatcher/pool.js');
const request = require('../node_modules/undici/lib/api/api-request.js');

Dispatcher.prototype.request = request;
module.exports = {Pool};
