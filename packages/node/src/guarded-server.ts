/** HTTP listeners beside the one for callers: lookups, readiness, operators. Whatever is sent to one, the process goes on. */

import http from 'node:http';
import type {ErrorBarrier} from './error-barrier.ts';
import {sendJson} from './http.ts';

/** Time for a request to arrive, and for a connection without any traffic, in milliseconds. */
const requestTimeoutMs = 10_000;
const idleTimeoutMs = 30_000;

const badRequestStatusCode = 400;
const internalErrorStatusCode = 500;

/** Returns the URL of a request's target; undefined where the target is none. */
export const parseTarget = (text: string | undefined): URL | undefined => {
	try {
		return new URL(text ?? '/', 'http://host');
	} catch {
		return undefined;
	}
};

/** Answers one request. */
export type GuardedHandler = (url: URL, request: http.IncomingMessage, response: http.ServerResponse) => unknown;

/** Handler of the requests, and where its errors go. */
export type GuardedServerOptions = {
	/** Name of the listener in logs and metrics. */
	readonly place: string;
	readonly errors?: ErrorBarrier;
	readonly handle: GuardedHandler;
};

/** Creates a server that answers 400 to a target that can't be parsed, and 500 where the handler fails. */
export const createGuardedServer = ({place, errors, handle}: GuardedServerOptions): http.Server => {
	const answer = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		try {
			const url = parseTarget(request.url);
			if (url === undefined) {
				sendJson(response, badRequestStatusCode, {error: 'invalid request target'});
				return;
			}

			await handle(url, request, response);
		} catch (error) {
			errors?.record(place, error);
			if (response.headersSent) {
				response.destroy();
				return;
			}

			sendJson(response, internalErrorStatusCode, {error: 'internal error'});
		}
	};

	const server = http.createServer({requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs}, (request, response) => {
		void answer(request, response);
	});
	// A caller that does not read its answer would keep the connection.
	server.setTimeout(idleTimeoutMs);
	return server;
};
