// Bundles the program that runs on the platform into target/, from the sources of the workspaces.
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
	// Some dependencies are CommonJS and call require for Node's own modules.
	banner: {
		js: "import {createRequire as createRequireOfBundle} from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
	},
	// Optional native parts; the pure JavaScript is used where they are missing.
	external: ['cbor-extract', 'dtrace-provider'],
	sourcemap: false,
	legalComments: 'none',
	minify: true,
	keepNames: true,
});
