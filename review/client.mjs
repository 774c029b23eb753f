/* eslint-disable no-await-in-loop, no-void -- names of the wire; steps in series */
/** A stand-in for a client: one connection that carries one request at a time. */

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

let counter = 0;

/** Returns a new request id. */
export const nextRequestId = () => {
	counter++;
	return `c${counter.toString(16).padStart(8, '0')}`;
};

const chunkBytes = 65_536;

/** Opens a client of `address` and `port`; its connection is kept between requests. */
export const createClient = (run, address, port) => {
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	run.defer(() => {
		agent.destroy();
	});

	return {
		close() {
			agent.destroy();
		},
		/** Sends a request and resolves with its end. The body is written at `bytesPerSecond`; `leaveAfterMs` closes the connection. */
		async send({
			method = 'GET', target, bodyBytes, deadlineMs = 3000, bytesPerSecond = Number.POSITIVE_INFINITY, leaveAfterMs, host = 'review.example', requestId = nextRequestId(), body = bodyBytes === undefined ? undefined : Buffer.alloc(bodyBytes, 0x61),
		}) {
			const sentAtMs = run.nowMs();
			run.note(`client sends ${requestId} ${method} ${target} to ${address} body=${body?.length ?? 0}`);
			return new Promise(resolve => {
				let leftAtMs;
				const finish = end => {
					clearTimeout(timer);
					clearTimeout(leaveTimer);
					const call = {
						requestId, target, address, sentAtMs, endedAtMs: run.nowMs(), leftAtMs, isReused: request.reusedSocket, ...end,
					};
					run.note(`client got ${requestId} ${end.type} ${end.statusCode ?? end.detail ?? ''}`);
					resolve(call);
				};

				const request = http.request({
					agent, host: address, port, path: target, method, setHost: false, headers: {
						host, 'x-egretwing-request-id': requestId, 'x-egretwing-request-deadline': String(deadlineMs), ...(body !== undefined && {'content-length': String(body.length)}),
					},
				}, response => {
					let text = '';
					response.setEncoding('utf8').on('data', chunk => {
						text += chunk;
					});
					response.once('end', () => {
						finish({
							type: 'answered', statusCode: response.statusCode, headers: response.headers, text, isComplete: response.complete,
						});
					});
					response.once('error', error => {
						finish({type: 'closed', detail: error.message});
					});
				});
				const timer = setTimeout(() => {
					request.destroy(new Error('deadline of the client'));
				}, deadlineMs + 1000);
				const leaveTimer = leaveAfterMs === undefined
					? undefined
					: setTimeout(() => {
						leftAtMs = run.nowMs();
						run.note(`client leaves ${requestId}`);
						request.destroy(new Error('left'));
					}, leaveAfterMs);
				request.once('error', error => {
					finish({type: 'closed', detail: error.message});
				});
				const ended = new AbortController();
				request.once('close', () => {
					ended.abort();
				});
				const write = async () => {
					if (body === undefined || bytesPerSecond === Number.POSITIVE_INFINITY) {
						request.end(body);
						return;
					}

					const startedAtMs = run.nowMs();
					for (let sentBytes = 0; sentBytes < body.length && !request.destroyed; sentBytes += chunkBytes) {
						const dueMs = startedAtMs + (1000 * sentBytes / bytesPerSecond);
						if (dueMs > run.nowMs()) {
							await delay(dueMs - run.nowMs());
						}

						if (!request.write(body.subarray(sentBytes, sentBytes + chunkBytes))) {
							await once(request, 'drain', {signal: ended.signal}).catch(() => undefined);
						}
					}

					request.end();
				};

				void write();
			});
		},
	};
};

/** Whether a connection to `address` and `port` can be opened. */
export const canConnect = async (address, port) => new Promise(resolve => {
	const socket = net.connect({host: address, port});
	socket.once('connect', () => {
		socket.destroy();
		resolve(true);
	});
	socket.once('error', () => {
		resolve(false);
	});
});
