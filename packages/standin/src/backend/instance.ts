/** One instance of a service: an HTTP server with slots, a service time and faults. */

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createServer as createHttpServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {createServer as createNetServer, type Socket} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {Readable} from 'node:stream';
import type {Random} from '@egretwing/core';
import {listen, resetSocket, sendJson} from '@egretwing/node';
import {requestUrl, sleep} from '../http.ts';
import type {InstanceSettings} from '../settings.ts';
import {createFaults} from './faults.ts';
import {recordingChunks} from './recordings.ts';
import type {RunLog} from './runs.ts';
import {createSlots} from './slots.ts';
import type {InstanceCounts, InstanceFault, Run} from './types.ts';

const retryAfterSeconds = '1';
const defaultRecordingBytes = 1_048_576;
const pollMs = 20;

/** A running instance. */
export type InstanceServer = {
	readonly settings: InstanceSettings;
	readonly port: number;
	readonly setFault: (fault: InstanceFault) => Promise<void>;
	readonly counts: () => InstanceCounts;
	readonly close: () => void;
};

type Answer = {
	readonly statusCode: number;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body: Readonly<Record<string, unknown>>;
};

const header = (request: IncomingMessage, name: string): string => {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(',') : value ?? '';
};

const isRecording = (request: IncomingMessage): boolean => requestUrl(request).pathname.startsWith('/recordings/');

/** Starts an instance. */
export const startInstance = async (settings: InstanceSettings, runLog: RunLog, random: Random): Promise<InstanceServer> => {
	const faults = createFaults(random);
	const slots = createSlots(settings.slots, settings.queueLength);
	const sockets = new Set<Socket>();
	const counts = {
		requests: 0, runs: 0, cancelled: 0, shed: 0, refusedDraining: 0, firstRefusedDrainingAtMs: 0, crashes: 0, probes: 0, connects: 0, lastRequestAtMs: 0,
	};
	let startedMs = Date.now();
	let flapStartMs = 0;
	let restartTimer: NodeJS.Timeout | undefined;

	const isStalled = (): boolean => {
		const flap = faults.get('flap');
		return flap !== undefined && Math.floor((Date.now() - flapStartMs) / flap.periodMs) % 2 === 0;
	};

	const waitWhileStalled = async (signal: AbortSignal): Promise<void> => {
		if (faults.applies('stall')) {
			await Promise.race([
				faults.changed(),
				new Promise(resolve => {
					signal.addEventListener('abort', resolve, {once: true});
				}),
			]);
		}

		while (isStalled() && !signal.aborted) {
			await sleep(pollMs);
		}
	};

	const serviceTimeMs = (): number => {
		const isWarmingUp = Date.now() - startedMs < settings.coldStartMs;
		const delayMs = faults.applies('slow') ? faults.get('slow')?.delayMs ?? 0 : 0;
		return (settings.serviceTimeMs * (isWarmingUp ? settings.coldFactor : 1)) + delayMs;
	};

	const countRun = (request: IncomingMessage): void => {
		counts.runs++;
		const workId = header(request, 'x-work-id');
		if (workId === '') {
			return;
		}

		const deadline = header(request, 'egretwing-deadline-ms');
		const run: Run = {
			workId,
			requestId: header(request, 'x-request-id'),
			instance: settings.hostId,
			atMs: Date.now(),
			...(deadline !== '' && {deadlineMs: Number(deadline)}),
		};
		runLog.add(run);
	};

	/** Sends the answer, or what the active faults replace it with. */
	const sendAnswer = async (request: IncomingMessage, response: ServerResponse, answer: Answer): Promise<void> => {
		if (faults.isCut(request.socket.remoteAddress ?? '', 'answers')) {
			return;
		}

		if (faults.applies('resetAfterWrite')) {
			resetSocket(request.socket);
			return;
		}

		const body = Buffer.from(JSON.stringify(answer.body));
		const headers = {
			'content-type': 'application/json',
			'content-length': String(body.length),
			'x-request-id': header(request, 'x-request-id'),
			'x-instance': settings.hostId,
			...answer.headers,
		};
		if (faults.applies('halfAnswer')) {
			response.writeHead(answer.statusCode, headers);
			response.write(body.subarray(0, body.length / 2), () => {
				request.socket.destroy();
			});
			return;
		}

		if (faults.applies('longAnswer')) {
			const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
			request.socket.write(`HTTP/1.1 ${answer.statusCode} Any\r\n${lines.join('')}\r\n${body.toString()}{"surplus":true}`);
			return;
		}

		response.writeHead(answer.statusCode, headers);
		response.end(body);
	};

	const receiveBody = async (request: IncomingMessage): Promise<{readonly bytes: number; readonly sha256: string}> => {
		const hash = createHash('sha256');
		let bytes = 0;
		for await (const chunk of request) {
			const buffer = chunk as Buffer;
			bytes += buffer.length;
			hash.update(buffer);
		}

		return {bytes, sha256: hash.digest('hex')};
	};

	const sendRecording = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const {searchParams} = requestUrl(request);
		const bytes = Number(searchParams.get('bytes') ?? defaultRecordingBytes);
		const seed = Number(searchParams.get('seed') ?? 1);
		const paceMs = Number(searchParams.get('paceMs') ?? 0);
		const cutAtBytes = faults.applies('halfAnswer') ? bytes / 2 : Infinity;
		const chunks = async function * (): AsyncGenerator<Buffer> {
			let sentBytes = 0;
			for (const chunk of recordingChunks(bytes, seed)) {
				if (sentBytes >= cutAtBytes) {
					request.socket.destroy();
					return;
				}

				sentBytes += chunk.length;
				yield chunk;
				if (paceMs > 0) {
					await sleep(paceMs);
				}
			}
		};

		response.writeHead(200, {
			'content-type': 'application/octet-stream',
			'content-length': String(bytes),
			'x-request-id': header(request, 'x-request-id'),
			'x-instance': settings.hostId,
		});
		await pipeline(Readable.from(chunks()), response);
	};

	const runWork = async (request: IncomingMessage, response: ServerResponse, signal: AbortSignal): Promise<void> => {
		if (request.method === 'GET' && isRecording(request)) {
			counts.runs++;
			await sendRecording(request, response);
			return;
		}

		const received = await receiveBody(request);
		const expected = header(request, 'x-sha256');
		if (expected !== '' && expected !== received.sha256) {
			await sendAnswer(request, response, {statusCode: 422, body: {error: 'digest differs', ...received}});
			return;
		}

		countRun(request);
		await waitWhileStalled(signal);
		await sleep(serviceTimeMs());
		if (signal.aborted) {
			return;
		}

		const pad = Number(requestUrl(request).searchParams.get('pad') ?? 0);
		await sendAnswer(request, response, {
			statusCode: faults.applies('errorRate') ? 500 : 200,
			body: {
				instance: settings.hostId,
				service: settings.service,
				method: request.method,
				path: request.url,
				requestId: header(request, 'x-request-id'),
				workId: header(request, 'x-work-id'),
				workspace: header(request, 'egretwing-workspace'),
				...received,
				...(pad > 0 && {pad: 'x'.repeat(pad)}),
			},
		});
	};

	/** Answers 503 without running the work. */
	const refuse = async (request: IncomingMessage, response: ServerResponse, reason: 'draining' | 'shedding'): Promise<void> => {
		request.resume();
		await sendAnswer(request, response, {
			statusCode: 503,
			headers: {
				'retry-after': retryAfterSeconds,
				...(reason === 'draining' ? {'x-draining': 'true', connection: 'close'} : {'x-shedding': 'true'}),
			},
			body: {instance: settings.hostId, refused: reason},
		});
	};

	const closeListener = (): void => {
		clearTimeout(restartTimer);
		if (listener.listening) {
			listener.close();
		}
	};

	const closeAll = (): void => {
		closeListener();
		for (const socket of sockets) {
			resetSocket(socket);
		}
	};

	const reopen = async (): Promise<void> => {
		clearTimeout(restartTimer);
		if (!listener.listening) {
			startedMs = Date.now();
			await listen(listener, port, settings.address);
		}
	};

	const crash = (restartMs: number): void => {
		counts.crashes++;
		closeAll();
		restartTimer = setTimeout(() => {
			void reopen();
		}, restartMs);
	};

	const answerProbe = async (response: ServerResponse, path: string): Promise<void> => {
		counts.probes++;
		await sleep(settings.probeTimeMs);
		const isHealthy = faults.has('lieHealthy') || !(faults.has('lieSick') || faults.has('drain'));
		const inFlight = faults.has('lieHealthy') ? 0 : slots.inFlight();
		sendJson(response, path === '/healthz' && !isHealthy ? 503 : 200, {
			instance: settings.hostId,
			healthy: isHealthy,
			inFlight: faults.has('lieSick') ? settings.slots : inFlight,
			queued: slots.queued(),
			slots: settings.slots,
		});
	};

	const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const {pathname} = requestUrl(request);
		if (faults.isCut(request.socket.remoteAddress ?? '', 'requests')) {
			return;
		}

		if (pathname === '/healthz' || pathname === '/loadz') {
			await answerProbe(response, pathname);
			return;
		}

		counts.requests++;
		counts.lastRequestAtMs = Date.now();
		const crashFault = faults.get('crash');
		if (crashFault && (request.url ?? '').includes(crashFault.pathPart)) {
			countRun(request);
			crash(crashFault.restartMs);
			return;
		}

		if (faults.has('drain')) {
			counts.refusedDraining++;
			counts.firstRefusedDrainingAtMs ||= counts.lastRequestAtMs;
			await refuse(request, response, 'draining');
			return;
		}

		const disconnected = new AbortController();
		response.once('close', () => {
			disconnected.abort();
		});
		const grant = faults.has('shed') ? 'full' : await slots.acquire(disconnected.signal);
		if (grant === 'full') {
			counts.shed++;
			await refuse(request, response, 'shedding');
			return;
		}

		if (grant === 'cancelled') {
			counts.cancelled++;
			return;
		}

		try {
			await runWork(request, response, disconnected.signal);
		} finally {
			slots.release();
			if (disconnected.signal.aborted && !response.writableFinished) {
				counts.cancelled++;
			}
		}
	};

	const http = createHttpServer({keepAliveTimeout: 0, requestTimeout: 0}, (request, response) => {
		handleRequest(request, response).catch(() => {
			request.socket.destroy();
		});
	});

	const listener = createNetServer({pauseOnConnect: true}, async socket => {
		counts.connects++;
		if (sockets.size >= settings.connections) {
			resetSocket(socket);
			return;
		}

		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		await sleep(settings.connectTimeMs);
		if (!socket.destroyed) {
			http.emit('connection', socket);
			socket.resume();
		}
	});
	const port = await listen(listener, settings.port, settings.address);

	return {
		settings,
		port,
		async setFault(fault) {
			faults.set(fault);
			flapStartMs = Date.now();
			if (fault.type === 'ok') {
				await reopen();
				return;
			}

			if (fault.type === 'down') {
				closeAll();
				return;
			}

			if (fault.type === 'refuseConnect') {
				closeListener();
			}
		},
		counts: () => ({...counts, inFlight: slots.inFlight()}),
		close: closeAll,
	};
};
