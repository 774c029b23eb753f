/** Writes refusals of the system's own to callers. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import {createProblem, errorAnswers, type Refusal} from '@egretwing/core';

/** Answer header: kind of the refusal. */
export const kindHeader = 'egretwing-kind';

/** Answer header: whether the request ran. */
export const ranHeader = 'egretwing-ran';

/** Time in which the rest of a refused request's body must arrive. */
const unreadBodyTimeoutMs = 5000;

const msPerSecond = 1000;

/** The last request of a connection that was answered before its body was in. */
const answeredEarly = new WeakMap<net.Socket, http.IncomingMessage>();

/** True when the next bytes on the connection belong to a body whose request has its answer. */
export const awaitsRestOfBody = (socket: net.Socket): boolean => answeredEarly.get(socket)?.complete === false;

/** Closes the caller's connection when the rest of a refused body does not arrive in time. */
export const boundUnreadBody = (response: http.ServerResponse): void => {
	const incoming = response.req;
	if (incoming.complete) {
		return;
	}

	answeredEarly.set(incoming.socket, incoming);
	incoming.resume();
	const timer = setTimeout(() => {
		incoming.destroy();
	}, unreadBodyTimeoutMs);
	incoming.once('close', () => {
		clearTimeout(timer);
	});
};

/** Answers with the table's status for the kind, and with what is known of this request; `retryAfterMs` replaces the table's. */
export const refuse = (response: http.ServerResponse, {kind, ran, detail}: Refusal, retryAfterMs?: number): void => {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {statusCode, retryAfterSeconds} = errorAnswers[kind];
	const retryAfter = retryAfterMs === undefined ? retryAfterSeconds?.toString() : (retryAfterMs / msPerSecond).toFixed(3);
	const body = JSON.stringify(createProblem(kind, detail, ran));
	boundUnreadBody(response);
	if (kind === 'malformed-request') {
		// What follows on the connection may be read in more than one way, too.
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
