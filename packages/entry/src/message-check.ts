/** Detects requests that the parser accepts but that two HTTP implementations may interpret differently (request smuggling). */

import type http from 'node:http';

const rawHeaderStride = 2;

const countHeader = (rawHeaders: readonly string[], name: string): number => {
	let found = 0;
	for (let index = 0; index < rawHeaders.length; index += rawHeaderStride) {
		found += rawHeaders[index]?.toLowerCase() === name ? 1 : 0;
	}

	return found;
};

/** True if the host and the length of the request have only one interpretation. */
export const isUnambiguous = (incoming: http.IncomingMessage): boolean => {
	const {rawHeaders, headers} = incoming;
	const hosts = countHeader(rawHeaders, 'host');
	const coding = headers['transfer-encoding'];
	const hasOneHost = hosts === 1 || (hosts === 0 && incoming.httpVersion === '1.0');
	const isCodingKnown = coding === undefined || (coding.toLowerCase() === 'chunked' && incoming.httpVersion === '1.1');
	const hasOneLength = coding === undefined || headers['content-length'] === undefined;
	return hasOneHost && isCodingKnown && hasOneLength;
};
