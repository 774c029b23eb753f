/** Refuses requests that two HTTP implementations may read differently and that the parser lets pass. */

import type http from 'node:http';

const nameStep = 2;

const count = (rawHeaders: readonly string[], name: string): number => {
	let found = 0;
	for (let index = 0; index < rawHeaders.length; index += nameStep) {
		found += rawHeaders[index]?.toLowerCase() === name ? 1 : 0;
	}

	return found;
};

/** True when the host and the length of the request can be read in one way only. */
export const isUnambiguous = (incoming: http.IncomingMessage): boolean => {
	const {rawHeaders, headers} = incoming;
	const hosts = count(rawHeaders, 'host');
	const coding = headers['transfer-encoding'];
	const hasOneHost = hosts === 1 || (hosts === 0 && incoming.httpVersion === '1.0');
	const isCodingKnown = coding === undefined || (coding.toLowerCase() === 'chunked' && incoming.httpVersion === '1.1');
	const hasOneLength = coding === undefined || headers['content-length'] === undefined;
	return hasOneHost && isCodingKnown && hasOneLength;
};
