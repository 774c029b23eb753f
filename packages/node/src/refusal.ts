/** Sends refusals, the error responses that the proxy itself generates, to callers. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import {createProblem, errorAnswers, type Refusal} from '@egretwing/core';

/** Response header: kind of the refusal. */
export const kindHeader = 'egretwing-kind';

/** Response header: whether the request ran. */
export const ranHeader = 'egretwing-ran';

/** Time in which the rest of the body of an already answered request must arrive, in milliseconds. */
const unreadBodyTimeoutMs = 5000;

const msPerSecond = 1000;

/** The last request of each connection that was answered before its body had been received. */
const requestsAnsweredEarly = new WeakMap<net.Socket, http.IncomingMessage>();

/** True if the next bytes on the connection belong to the body of an already answered request. */
export const hasUnreadBody = (socket: net.Socket): boolean => requestsAnsweredEarly.get(socket)?.complete === false;

/** Discards the rest of the request body; closes the connection of the caller if it does not arrive in time. */
export const discardUnreadBody = (response: http.ServerResponse): void => {
	const incoming = response.req;
	if (incoming.complete) {
		return;
	}

	requestsAnsweredEarly.set(incoming.socket, incoming);
	incoming.resume();
	const timer = setTimeout(() => {
		incoming.destroy();
	}, unreadBodyTimeoutMs);
	incoming.once('close', () => {
		clearTimeout(timer);
	});
};

/**
 * Sends the status code of `errorAnswers` for the kind, with the run state and detail of this request. `retryAfterMs`
 * overrides the delay in `errorAnswers`.
 */
export const refuse = (response: http.ServerResponse, {kind, ran, detail}: Refusal, retryAfterMs?: number): void => {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {statusCode, retryAfterSeconds} = errorAnswers[kind];
	const retryAfter = retryAfterMs === undefined ? retryAfterSeconds?.toString() : (retryAfterMs / msPerSecond).toFixed(3);
	const body = JSON.stringify(createProblem(kind, detail, ran));
	discardUnreadBody(response);
	if (kind === 'malformed-request') {
		// The following data on the connection may be ambiguous, too.
		response.shouldKeepAlive = false;
	}

	response.writeHead(statusCode, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[kindHeader]: kind,
		[ranHeader]: ran,
		...(retryAfter !== undefined && {'retry-after': retryAfter}),
	});
	response.end(body);
};
