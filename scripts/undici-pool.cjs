// Exports only the parts of undici that the bundle needs. The main module also loads fetch, WebSocket, caches and
// proxies, which are unused and would take memory in each process.
const Dispatcher = require('undici-library/lib/dispatcher/dispatcher.js');
const Pool = require('undici-library/lib/dispatcher/pool.js');
const request = require('undici-library/lib/api/api-request.js');

Dispatcher.prototype.request = request;
module.exports = {Pool};
