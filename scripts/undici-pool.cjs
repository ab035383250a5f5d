// The part of undici that the bundle needs. Its main module also loads fetch, WebSocket, caches and proxies, which
// take memory in each process and are not used.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
const Pool = require('../node_modules/undici/lib/dispatcher/pool.js');
const request = require('../node_modules/undici/lib/api/api-request.js');

Dispatcher.prototype.request = request;
module.exports = {Pool};
