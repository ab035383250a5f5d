export * from './constants.js';
