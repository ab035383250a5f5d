import type {Buffer} from 'node:buffer';
import {CONTAINER_BYTES, VALUE_BYTES} from './constants.js';

export type JsonCost = Readonly<{depth: number; bytes: number}>;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPEN_BRACKET = 0x5b;
const CLOSE_BRACKET = 0x5d;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;

/**
Estimates, without parsing, what a JSON text takes once it is parsed and checked. Text that is not JSON gets some estimate too.

@example
```ts
estimateJsonCost(Buffer.from('{"steps":[{}]}')).depth; // 3
```
*/
export const estimateJsonCost = (text: Buffer): JsonCost => {
	let containers = 0;
	let commas = 0;
	let depth = 0;
	let maxDepth = 0;
	for (let index = 0; index < text.length; index += 1) {
		const character: number = text[index] ?? 0;
		switch (character) {
			case QUOTE: {
				// Jumps over the string.
				index += 1;
				while (index < text.length && text[index] !== QUOTE) {
					index += text[index] === BACKSLASH ? 2 : 1;
				}

				break;
			}

			case OPEN_BRACE:
			case OPEN_BRACKET: {
				containers += 1;
				depth += 1;
				maxDepth = Math.max(maxDepth, depth);
				break;
			}

			case CLOSE_BRACE:
			case CLOSE_BRACKET: {
				depth -= 1;
				break;
			}

			case COMMA: {
				commas += 1;
				break;
			}

			default:
			// Other characters cost nothing of their own.
		}
	}

	return {depth: maxDepth, bytes: text.length * 2 + containers * CONTAINER_BYTES + commas * VALUE_BYTES};
};
