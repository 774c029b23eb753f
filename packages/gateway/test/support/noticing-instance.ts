/** Instances that say of themselves that they leave, or that they want no requests for a while. */

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';

/** How an instance treats a request. */
export type Treatment
	/** Answers with a status code; `isRun` is false when it states that it did not run the request. */
	= | {readonly type: 'answer'; readonly statusCode: number; readonly isRun: boolean; readonly headers?: http.OutgoingHttpHeaders; readonly isChunked?: boolean}
		| {readonly type: 'reset'}
		| {readonly type: 'hang'};

/** A request that reached an instance. */
export type NoticingArrival = {
	readonly requestId: string;
	readonly atMs: number;
	/** When its caller sent it. */
	readonly sentAtMs: number;
};

/** A running instance. */
export type NoticingInstance = {
	readonly port: number;
	readonly arrivals: readonly NoticingArrival[];
	/** When it sent the first answer with one of the headers in question; infinite before. */
	readonly noticedAtMs: () => number;
	readonly close: () => void;
};

/** Header with the time at which the caller sent the request. */
export const sentAtHeader = 'x-sent-at-ms';

/** Starts an instance that treats its requests as `treat` says, each after `workMs`. */
export const startNoticingInstance = async (address: string, workMs: number, treat: (index: number) => Treatment): Promise<NoticingInstance> => {
	const arrivals: NoticingArrival[] = [];
	let noticedAtMs = Number.POSITIVE_INFINITY;

	const respond = (request: http.IncomingMessage, response: http.ServerResponse, requestId: string, treatment: Treatment): void => {
		switch (treatment.type) {
			case 'reset': {
				request.socket.resetAndDestroy();
				return;
			}

			case 'hang': {
				return;
			}

			case 'answer': {
				const {statusCode, isRun, headers = {}, isChunked = false} = treatment;
				if (Object.keys(headers).length > 0) {
					noticedAtMs = Math.min(noticedAtMs, performance.now());
				}

				response.writeHead(statusCode, {
					'egretwing-request-id': requestId,
					...(isRun ? {'egretwing-signature': 's'} : {'egretwing-not-executed': '1'}),
					...(!isChunked && {'content-length': requestId.length}),
					...headers,
				}).end(requestId);
			}
		}
	};

	const server = http.createServer((request, response) => {
		const requestId = String(request.headers['egretwing-request-id']);
		const treatment = treat(arrivals.length);
		arrivals.push({requestId, atMs: performance.now(), sentAtMs: Number(request.headers[sentAtHeader])});
		request.resume();
		setTimeout(() => {
			respond(request, response, requestId, treatment);
		}, workMs);
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		arrivals,
		noticedAtMs: () => noticedAtMs,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
