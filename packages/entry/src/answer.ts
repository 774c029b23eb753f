/** Writes answers to callers: the backend server's own, or a refusal. */

import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {pipeline} from 'node:stream/promises';
import {createProblem, errorAnswers, type ErrorKind} from '@egretwing/core';
import {forwardedHeaders, type AttemptOutcome} from './attempt.ts';
import {instanceHeader, kindHeader, ranHeader} from './constants.ts';

/** Answers with the table's status, headers and body for `kind`. */
export const refuse = (response: http.ServerResponse, kind: ErrorKind, detail?: string): void => {
	const {statusCode, ran, retryAfterSeconds} = errorAnswers[kind];
	const body = JSON.stringify(createProblem(kind, detail));
	response.writeHead(statusCode, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[kindHeader]: kind,
		[ranHeader]: ran,
		...(retryAfterSeconds !== undefined && {'retry-after': String(retryAfterSeconds)}),
	});
	response.end(body);
};

/** Streams a backend server's answer; breaks the caller's connection off when the answer is cut. */
export const passAnswer = async (response: http.ServerResponse, answer: Extract<AttemptOutcome, {type: 'answered'}>, instanceId: string): Promise<'whole' | 'cut'> => {
	response.writeHead(answer.statusCode, {...forwardedHeaders(answer.headers), [instanceHeader]: instanceId});
	try {
		await pipeline(answer.body, response);
		return 'whole';
	} catch {
		response.destroy();
		return 'cut';
	}
};
