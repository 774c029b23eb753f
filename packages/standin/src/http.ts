/** Small helpers round Node's `http` that both stand-ins use. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {sendJson} from '@egretwing/node';

/** Largest body of an operator's command. */
export const maxCommandBytes = 67_108_864;

/** The path and query of a request; the host part is of no use here. */
export const requestUrl = (request: IncomingMessage): URL => new URL(request.url ?? '/', 'http://standin');

/** Resolves after `durationMs`. */
export const sleep = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

/** Creates the listener of the operators' side; a command that `answer` rejects is answered with 400 and the reason. */
export const createOperatorListener = (answer: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Server =>
	createServer((request, response) => {
		answer(request, response).catch((error: unknown) => {
			sendJson(response, 400, {error: String(error)});
		});
	});
