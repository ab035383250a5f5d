// Bundles the program for the platform from the workspaces' sources into the directory given as argument, by default target/.
import {readdirSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const packages = readdirSync('packages');
// The version that platform/ declares; tools may bring another one to the root.
const requireFromPlatform = createRequire(new URL('../platform/package.json', import.meta.url));
const undiciDirectory = path.dirname(requireFromPlatform.resolve('undici/package.json'));
const alias = {
	...Object.fromEntries(packages.map((name) => [`@bergamotgauge/${name}`, `./packages/${name}/src/index.ts`])),
	'hdr-histogram-js': './scripts/hdr-histogram-build.cjs',
	undici: './scripts/undici-pool.cjs',
	'undici-library': undiciDirectory,
};

await build({
	entryPoints: {bergamotgauge: 'platform/src/main.ts'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	// Node compiles a CommonJS module in about a third of the CPU time of an ES module, and callers wait while all
	// instances restart.
	format: 'cjs',
	outdir: process.argv[2] ?? 'target',
	outExtension: {'.js': '.cjs'},
	alias,
	// Optional native add-ons; their packages fall back to pure JavaScript.
	external: ['cbor-extract', 'dtrace-provider'],
	sourcemap: false,
	legalComments: 'none',
	minify: true,
	keepNames: true,
});
