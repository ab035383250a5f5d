/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		prettier: true,
		ignores: ['**/dist/**', '.tap/**'],
	},
	{
		files: ['packages/**/*.ts', 'platform/**/*.ts'],
		rules: {
			// One async task for each connection and peer is written straight down as a loop of awaits.
			'no-await-in-loop': 'off',
			// Prettier decides on line breaks inside braces.
			'@stylistic/curly-newline': 'off',
			'@typescript-eslint/no-empty-function': ['error', {allow: ['arrowFunctions', 'asyncMethods']}],
			// Decoded values get their type where the schema version or the schema has been checked.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Streams and sockets of Node deliver Buffers.
			'@typescript-eslint/no-restricted-types': 'off',
			'new-cap': ['error', {newIsCap: true, capIsNew: true, capIsNewExceptions: ['Router']}],
			// XO's convention, with SCREAMING_SNAKE_CASE constants added by the house style.
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: 'variable',
					modifiers: ['const'],
					format: ['strictCamelCase', 'UPPER_CASE'],
					leadingUnderscore: 'allow',
				},
				{selector: 'variable', format: ['strictCamelCase'], leadingUnderscore: 'allow'},
				{selector: 'function', format: ['strictCamelCase']},
				{selector: 'parameter', format: ['strictCamelCase'], leadingUnderscore: 'allow'},
				{selector: 'typeLike', format: ['StrictPascalCase']},
			],
		},
	},
	{
		files: [
			'platform/src/main.ts',
			'platform/src/soak/main.ts',
			'packages/cli/**/*.ts',
			'packages/demo/**/*.ts',
			'packages/harness/**/*.ts',
			'packages/bench/**/*.ts',
		],
		rules: {
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default config;
