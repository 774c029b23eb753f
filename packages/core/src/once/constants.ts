/** Fixed limits of idempotency keys. */

/** Prefix of issued keys; names the version of their format. */
export const issuedKeyMark = 'eg1';

/** Maximum length of an idempotency key, in characters. */
export const maxKeyLength = 255;

/** Bytes counted for a stored key in addition to its text and its answer. */
export const keyOverheadBytes = 512;

/** Width of the intervals by which expired keys are grouped, in milliseconds. */
export const expiryIntervalMs = 1000;

/** Bytes counted for one character of a stored text. */
export const bytesPerCharacter = 2;
