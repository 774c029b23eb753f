/** Responds to requests that the strict HTTP parser rejects: ambiguous lengths, invalid chunks, headers too large or too slow. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import {createProblem, errorAnswers, type ErrorKind} from '@egretwing/core';
import {hasUnreadBody, kindHeader, ranHeader} from './refusal.ts';

const kindsByErrorCode: Readonly<Record<string, ErrorKind>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large',
	ERR_HTTP_REQUEST_TIMEOUT: 'headers-too-slow',
};

/** A socket with the internal Node.js property that holds the response being written to it. */
type ServingSocket = net.Socket & {readonly _httpMessage?: http.ServerResponse | null};

/** How a connection ended that can't be read any further. */
export type ClientErrorResult = {
	/** Error code of the parser or of the operating system. */
	readonly code: string;
	/** Kind of the refusal; undefined if the connection was closed without a response. */
	readonly kind?: ErrorKind;
	/** True if a request of the connection was being served. */
	readonly isServing: boolean;
	/** True if the error came from the parser, not from the operating system. */
	readonly isFromParser: boolean;
	readonly readBytes: number;
};

/** The caller half-closed the connection in the middle of a request. */
const unexpectedEndCode = 'HPE_INVALID_EOF_STATE';

const parserErrorCode = /^(?:HPE|ERR_HTTP)_/v;

type CodedError = Error & {readonly code?: string};

/** True if the bytes of a caller who is still connected could not be parsed. */
export const isParserError = ({code = ''}: CodedError): boolean => parserErrorCode.test(code) && code !== unexpectedEndCode;

/** Sends a refusal and closes; only closes a connection on which a request is being served, since that request may have run. */
export const handleClientError = (error: CodedError, socket: ServingSocket): ClientErrorResult => {
	const serving = socket._httpMessage;
	const code = error.code ?? 'unknown';
	const result: ClientErrorResult = {
		code, isServing: Boolean(serving), isFromParser: parserErrorCode.test(code), readBytes: socket.bytesRead,
	};
	const isResponseDue = code !== unexpectedEndCode && !hasUnreadBody(socket);
	if (serving ? serving.writableEnded : !isResponseDue) {
		socket.destroySoon();
		return result;
	}

	const canRespond = socket.writable && !result.isServing && code !== 'ECONNRESET';
	if (!canRespond) {
		socket.destroy();
		return result;
	}

	const kind = kindsByErrorCode[code] ?? 'malformed-request';
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
	return {...result, kind};
};
