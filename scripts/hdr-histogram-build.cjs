// Exports only the part of hdr-histogram-js that the bundle needs. The main module also loads the log writer, whose
// number formats initialise the locale data at each start.
const {build} = require('../node_modules/hdr-histogram-js/dist/HistogramBuilder.js');

module.exports = {build};
