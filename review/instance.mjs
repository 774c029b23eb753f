/* eslint-disable camelcase -- names of the wire; steps in series */
/** A stand-in for an instance of a service. */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import {findFreePort} from './run.mjs';

/**
 * Starts an instance. `workMs(request)` gives the time that a request takes; `onArrival(event)`, `onRun(event)` and `onDrop(event)` tell
 * when a request reached the instance, began to run, and was dropped because its connection closed.
 */
export const startInstance = async (run, {
	instanceId, address, service, zone, slots = 4, queue = 16, workMs, onArrival = () => undefined, onRun = () => undefined, onEnd = () => undefined, onDrop = () => undefined,
}) => {
	const port = await findFreePort(address);
	const bornAtMs = Date.now();
	const waiting = [];
	let busySlots = 0;
	let sequence = 0;
	let server;

	const takeSlot = async () => {
		if (busySlots < slots) {
			busySlots++;
			return;
		}

		await new Promise(resolve => {
			waiting.push(resolve);
		});
	};

	const releaseSlot = () => {
		const next = waiting.shift();
		if (next === undefined) {
			busySlots--;
			return;
		}

		next();
	};

	const answer = (response, statusCode, headers, body = '') => {
		response.writeHead(statusCode, {'content-length': Buffer.byteLength(body), 'keep-alive': 'timeout=10', ...headers});
		response.end(body);
	};

	const work = async (request, response, bodyBytes) => {
		const requestId = request.headers['x-egretwing-request-id'] ?? '';
		const event = {
			requestId, instanceId, path: request.url, atMs: run.nowMs(), bodyBytes,
		};
		onArrival(event);
		run.note(`${instanceId} got ${requestId} ${request.method} ${request.url} body=${bodyBytes}`);
		if (waiting.length >= queue) {
			answer(response, 503, {'x-egretwing-request-id': requestId, 'x-egretwing-not-executed': '1'});
			return;
		}

		let isClosed = false;
		let wakeWork = () => undefined;
		response.once('close', () => {
			isClosed = !response.writableFinished;
			wakeWork();
		});
		await takeSlot();
		if (!isClosed) {
			run.note(`${instanceId} runs ${requestId}`);
			if (onRun(event) !== 'crashed') {
				await new Promise(resolve => {
					const timer = setTimeout(resolve, workMs(event));
					wakeWork = () => {
						clearTimeout(timer);
						resolve();
					};
				});
			}
		}

		releaseSlot();
		if (isClosed) {
			run.note(`${instanceId} dropped ${requestId}, its connection closed`);
			onDrop(event);
			return;
		}

		run.note(`${instanceId} ended ${requestId}`);
		onEnd(event);
		answer(response, 200, {
			'x-egretwing-request-id': requestId, 'x-egretwing-response-signature': `${instanceId}.${requestId}`, 'x-review-instance': instanceId, 'x-review-service': service,
		}, `${instanceId} ${requestId}`);
	};

	const handle = async (request, response) => {
		let bodyBytes = 0;
		try {
			for await (const chunk of request) {
				bodyBytes += chunk.length;
			}
		} catch {
			return;
		}

		const target = request.headers['x-egretwing-target-instance'];
		if (target !== undefined && target !== instanceId) {
			answer(response, 421, {'x-egretwing-instance-id': instanceId});
			return;
		}

		if (request.url === '/health') {
			answer(response, 200, {'x-egretwing-instance-id': instanceId});
			return;
		}

		await work(request, response, bodyBytes);
	};

	const open = async () => {
		server = http.createServer(handle);
		server.keepAliveTimeout = 10_000;
		await new Promise(resolve => {
			server.listen(port, address, resolve);
		});
	};

	/** Resets all connections and stops listening. */
	const close = () => {
		server.close();
		server.closeAllConnections();
	};

	await open();
	run.defer(close);
	return {
		instanceId,
		service,
		open,
		close,
		register(store, state = 'ready') {
			sequence++;
			return store.put(`servers/${instanceId}`, {
				address: `${address}:${port}`,
				born: bornAtMs,
				info: {
					service, version: 'v1', zone, slots,
				},
				status: {state, sequence, warmup_left_ms: 0},
			});
		},
	};
};
