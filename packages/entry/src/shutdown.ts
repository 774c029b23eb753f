/**
 * Graceful shutdown of an entry.
 *
 * The entry first leaves the answers to callers, then goes on accepting for as long as callers may keep an answer, then
 * closes the listener and lets requests in flight end, up to the operator's bound.
 */

import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@egretwing/node';

/** How often connections that fell idle are closed while requests in flight end. */
const idleSweepMs = 200;

/** What a shutdown works on. */
export type ShutdownOptions = {
	readonly server: http.Server;
	/** Tells the agent that this entry takes no new callers. */
	readonly announce: () => void;
	/** How long new requests are accepted after the announcement. */
	readonly acceptMs: number;
	/** Longest wait for requests in flight after that. */
	readonly drainTimeoutMs: number;
	readonly logger: Logger;
};

/** How a shutdown ended. */
export type ShutdownOutcome = 'drained' | 'cut-off';

/** Shuts down the listener of an entry. */
export type Shutdown = {
	/** True once the shutdown has begun. */
	readonly isDraining: () => boolean;
	readonly run: () => Promise<ShutdownOutcome>;
};

/** Prepares the shutdown of `server`; nothing changes until it is run. */
export const createShutdown = (options: ShutdownOptions): Shutdown => {
	const {server, logger} = options;
	let draining = false;

	/** Callers that keep a connection open are told to open the next one elsewhere. */
	server.prependListener('request', (_request, response: http.ServerResponse) => {
		if (draining) {
			response.shouldKeepAlive = false;
		}
	});

	const closeListener = async (): Promise<void> => new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});

	const drain = async (): Promise<ShutdownOutcome> => {
		let outcome: ShutdownOutcome = 'drained';
		const sweep = setInterval(() => {
			server.closeIdleConnections();
		}, idleSweepMs);
		const bound = setTimeout(() => {
			outcome = 'cut-off';
			server.closeAllConnections();
		}, options.drainTimeoutMs);
		await closeListener();
		clearInterval(sweep);
		clearTimeout(bound);
		return outcome;
	};

	return {
		isDraining: () => draining,
		async run() {
			draining = true;
			options.announce();
			logger.info('entry drains', {acceptMs: options.acceptMs, drainTimeoutMs: options.drainTimeoutMs});
			await delay(options.acceptMs);
			return drain();
		},
	};
};
