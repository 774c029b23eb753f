/** Answers what the strict HTTP parser refuses: ambiguous lengths, bad chunks, headers too large or too slow. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import {createProblem, errorAnswers, type ErrorKind} from '@egretwing/core';
import {awaitsRestOfBody, kindHeader, ranHeader} from './refusal.ts';

const kindsByCode: Readonly<Record<string, ErrorKind>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large',
	ERR_HTTP_REQUEST_TIMEOUT: 'headers-too-slow',
};

/** The answer that is being written on the socket, as Node.js keeps it there. */
type ServingSocket = net.Socket & {readonly _httpMessage?: http.ServerResponse | null};

/** What came of a connection that can't be read on. */
export type ClientErrorResult = {
	/** Code of the parser or of the system. */
	readonly code: string;
	/** Kind of the refusal; undefined when the connection was closed without an answer. */
	readonly kind?: ErrorKind;
	/** True when a request of the connection was being served. */
	readonly isServing: boolean;
	/** True when the parser, not the system, gave up the connection. */
	readonly isFromParser: boolean;
	readonly readBytes: number;
};

/** The caller ended its direction in the middle of a request. */
const endedMidwayCode = 'HPE_INVALID_EOF_STATE';

const parserCode = /^(?:HPE|ERR_HTTP)_/v;

/** Refuses and closes; a connection on which a request is being served is only closed, as its request may have run. */
export const handleClientError = (error: Error & {readonly code?: string}, socket: ServingSocket): ClientErrorResult => {
	const serving = socket._httpMessage;
	const code = error.code ?? 'unknown';
	const end: ClientErrorResult = {
		code, isServing: Boolean(serving), isFromParser: parserCode.test(code), readBytes: socket.bytesRead,
	};
	const isOwedAnswer = code !== endedMidwayCode && !awaitsRestOfBody(socket);
	if (serving ? serving.writableEnded : !isOwedAnswer) {
		socket.destroySoon();
		return end;
	}

	const canAnswer = socket.writable && !end.isServing && code !== 'ECONNRESET';
	if (!canAnswer) {
		socket.destroy();
		return end;
	}

	const kind = kindsByCode[code] ?? 'malformed-request';
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
	return {...end, kind};
};
