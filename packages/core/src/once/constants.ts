/** Bounds of idempotency keys that no setting changes. */

/** Marks a key that was handed out by the fleet, and the version of its format. */
export const issuedKeyMark = 'eg1';

/** Longest idempotency key accepted, in characters. */
export const maxKeyLength = 255;

/** Bytes counted for a remembered key besides its text and its answer. */
export const keyOverheadBytes = 512;

/** Width of the intervals by which expired keys are found, in milliseconds. */
export const expiryIntervalMs = 1000;

/** Bytes held by one character of a stored text. */
export const bytesPerCharacter = 2;
