/** Helpers around Node's `http` that both stand-ins use. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {parseTarget, sendJson} from '@egretwing/node';

/** Maximum body size of an operator's command. */
export const maxCommandBytes = 67_108_864;

/** Path and query of a request; the host part is a placeholder. A target that is none counts as `/`. */
export const requestUrl = (request: IncomingMessage): URL => parseTarget(request.url) ?? new URL('http://host/');

export const sleep = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

/** Creates the server of the operators' interface; a request that `handle` rejects is answered with 400 and the reason. */
export const createOperatorListener = (handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Server =>
	createServer((request, response) => {
		handle(request, response).catch((error: unknown) => {
			sendJson(response, 400, {error: String(error)});
		});
	});
