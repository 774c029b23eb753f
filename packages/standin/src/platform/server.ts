/** Platform stand-in: configuration service and host list, with fault injection. */

import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {hostListSchema} from '@egretwing/core';
import * as z from 'zod';
import {listen, readJson, sendJson} from '@egretwing/node';
import {
	createOperatorListener, maxCommandBytes, requestUrl, sleep,
} from '../http.ts';
import type {PlatformSettings} from '../settings.ts';
import {createReadMeter} from './reads.ts';
import {createPlatformStore} from './store.ts';
import type {PlatformFault} from './types.ts';

const maxWaitMs = 60_000;

const faultSchema: z.ZodType<PlatformFault> = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('ok')}),
	z.strictObject({type: z.literal('down')}),
	z.strictObject({type: z.literal('hang')}),
	z.strictObject({
		type: z.literal('stale'), position: z.int().min(0).optional(), sequence: z.int().min(0).optional(),
	}),
	z.strictObject({type: z.literal('slow'), delayMs: z.number().min(0)}),
]);

const hostsSchema = z.array(z.unknown()).transform(hosts => hostListSchema.parse({sequence: 0, hosts}).hosts);

/** A running platform stand-in. */
export type Platform = {
	/** Port that readers connect to. */
	readonly port: number;
	readonly operatorPort: number;
	readonly setFault: (fault: PlatformFault) => Promise<void>;
	readonly close: () => Promise<void>;
};

type Query = {
	readonly after: number;
	readonly waitMs: number;
};

const readQuery = (url: URL): Query => ({
	after: Number(url.searchParams.get('after') ?? 0) || 0,
	waitMs: Math.min(maxWaitMs, Number(url.searchParams.get('waitMs') ?? 0) || 0),
});

/** Starts the platform stand-in. */
export const startPlatform = async (settings: PlatformSettings): Promise<Platform> => {
	const store = createPlatformStore(settings.maxPageBytes);
	const meter = createReadMeter(settings.maxReadsPerSecond);
	const waiting = new Set<() => void>();
	let fault: PlatformFault = {type: 'ok'};

	store.putRecords(settings.records);
	store.putHosts(hostsSchema.parse(settings.hosts));

	const notifyWaiting = (): void => {
		for (const notify of waiting) {
			notify();
		}
	};

	const visiblePosition = (): number => fault.type === 'stale'
		? Math.min(fault.position ?? Infinity, store.position())
		: store.position();
	const visibleSequence = (): number => fault.type === 'stale'
		? Math.min(fault.sequence ?? Infinity, store.sequence())
		: store.sequence();

	/** Resolves when something newer than `after` is visible, `waitMs` has passed or the reader has disconnected. */
	const waitForUpdate = async (response: ServerResponse, {after, waitMs}: Query, newest: () => number): Promise<void> => {
		if (waitMs <= 0 || newest() > after) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				waiting.delete(finishIfUpdated);
				response.removeListener('close', finish);
				resolve();
			};

			const finishIfUpdated = (): void => {
				if (newest() > after) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs);
			waiting.add(finishIfUpdated);
			response.once('close', finish);
		});
	};

	const handleRead = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const url = requestUrl(request);
		const kind = url.pathname === '/v1/records' ? 'records' : 'hosts';
		if (request.method !== 'GET' || (kind === 'hosts' && url.pathname !== '/v1/hosts')) {
			sendJson(response, 404, {error: 'unknown path'});
			return;
		}

		if (!meter.admit(kind, Date.now())) {
			sendJson(response, 429, {error: 'too many reads'});
			return;
		}

		if (fault.type === 'hang') {
			return;
		}

		if (fault.type === 'slow') {
			await sleep(fault.delayMs);
		}

		const query = readQuery(url);
		await waitForUpdate(response, query, kind === 'records' ? visiblePosition : visibleSequence);
		sendJson(response, 200, kind === 'records' ? store.page(query.after, visiblePosition()) : store.hosts(visibleSequence()));
	};

	const readers = createServer((request, response) => {
		void handleRead(request, response);
	});
	const port = await listen(readers, settings.port, settings.address);

	const setFault = async (next: PlatformFault): Promise<void> => {
		fault = next;
		if (next.type === 'down') {
			readers.close();
			readers.closeAllConnections();
			return;
		}

		if (!readers.listening) {
			await listen(readers, port, settings.address);
		}

		notifyWaiting();
	};

	const handleOperatorRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		switch (`${request.method} ${requestUrl(request).pathname}`) {
			case 'PUT /v1/records': {
				const body = await readJson(request, maxCommandBytes);
				const position = store.putRecords(Array.isArray(body) ? body : [body]);
				notifyWaiting();
				sendJson(response, 200, {position});
				return;
			}

			case 'PUT /v1/hosts': {
				const sequence = store.putHosts(hostsSchema.parse(await readJson(request, maxCommandBytes)));
				notifyWaiting();
				sendJson(response, 200, {sequence});
				return;
			}

			case 'POST /v1/fault': {
				await setFault(faultSchema.parse(await readJson(request, maxCommandBytes)));
				sendJson(response, 200, {fault});
				return;
			}

			case 'GET /v1/counts': {
				sendJson(response, 200, {...meter.counts(), position: store.position(), sequence: store.sequence()});
				return;
			}

			default: {
				sendJson(response, 404, {error: 'unknown path'});
			}
		}
	};

	const operators = createOperatorListener(handleOperatorRequest);
	const operatorPort = await listen(operators, settings.operatorPort, settings.operatorAddress);

	return {
		port,
		operatorPort,
		setFault,
		async close() {
			for (const server of [readers, operators]) {
				server.close();
				server.closeAllConnections();
			}
		},
	};
};
