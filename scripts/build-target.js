// Bundles the program for the platform from the workspaces' sources into target/.
import {readdirSync} from 'node:fs';
import {build} from 'esbuild';

const packages = readdirSync('packages');
const alias = {
	...Object.fromEntries(packages.map((name) => [`@bergamotgauge/${name}`, `./packages/${name}/src/index.ts`])),
	undici: './scripts/undici-pool.cjs',
};

await build({
	entryPoints: {bergamotgauge: 'platform/src/main.ts'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	alias,
	// Some CommonJS dependencies call require for Node's built-in modules.
	banner: {
		js: "import {createRequire as createRequireOfBundle} from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
	},
	// Optional native add-ons; their packages fall back to pure JavaScript.
	external: ['cbor-extract', 'dtrace-provider'],
	sourcemap: false,
	legalComments: 'none',
	minify: true,
	keepNames: true,
});
