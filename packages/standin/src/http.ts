/** Small helpers round Node's `http` that both stand-ins use. */

import type {IncomingMessage} from 'node:http';

/** Largest body of an operator's command. */
export const maxCommandBytes = 67_108_864;

/** The path and query of a request; the host part is of no use here. */
export const requestUrl = (request: IncomingMessage): URL => new URL(request.url ?? '/', 'http://standin');

/** Resolves after `durationMs`. */
export const sleep = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});
