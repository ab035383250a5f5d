import {createHash, randomBytes} from 'node:crypto';

const TOKEN_BYTES = 32;

/** Generates a random access token. */
export const newToken = (): string => randomBytes(TOKEN_BYTES).toString('base64url');

/** Hex SHA-256 digest; declarations contain tokens in this form. */
export const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');
