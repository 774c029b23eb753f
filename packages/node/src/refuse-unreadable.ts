/** Answers what the strict HTTP parser refuses: ambiguous lengths, bad chunks, headers too large or too slow. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import {createProblem, errorAnswers, type ErrorKind} from '@egretwing/core';
import {kindHeader, ranHeader} from './refusal.ts';

const kindsByCode: Readonly<Record<string, ErrorKind>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large',
	ERR_HTTP_REQUEST_TIMEOUT: 'headers-too-slow',
};

/** The answer that is being written on the socket, as Node.js keeps it there. */
type ServingSocket = net.Socket & {readonly _httpMessage?: http.ServerResponse | null};

/** Refuses and closes; a connection on which a request is being served is only closed, as its request may have run. */
export const refuseUnreadable = (error: Error & {readonly code?: string}, socket: ServingSocket): void => {
	const serving = socket._httpMessage;
	if (serving?.writableEnded) {
		socket.destroySoon();
		return;
	}

	const canAnswer = socket.writable && !serving && error.code !== 'ECONNRESET';
	if (!canAnswer) {
		socket.destroy();
		return;
	}

	const kind = kindsByCode[error.code ?? ''] ?? 'malformed-request';
	const {statusCode, ran} = errorAnswers[kind];
	const body = JSON.stringify(createProblem(kind));
	socket.end([
		`HTTP/1.1 ${statusCode} Refused`,
		'connection: close',
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(body)}`,
		`${kindHeader}: ${kind}`,
		`${ranHeader}: ${ran}`,
		'',
		body,
	].join('\r\n'));
};
