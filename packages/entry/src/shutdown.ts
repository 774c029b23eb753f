/**
 * Graceful shutdown of an entry.
 *
 * The entry first announces that it is draining, so that locate responses no longer name it. It still accepts requests
 * while callers may use an earlier locate response. Then it closes the listener and waits for requests in flight, up to
 * the configured limit.
 */

import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@egretwing/node';

/** Interval at which connections that became idle are closed during the drain. */
const idleSweepMs = 200;

/** Dependencies and limits of a shutdown. */
export type ShutdownOptions = {
	readonly server: http.Server;
	/** Tells the agent that this entry accepts no new callers. */
	readonly announce: () => void;
	/** Time for which new requests are accepted after the announcement. */
	readonly acceptMs: number;
	/** Maximum wait for requests in flight after that. */
	readonly drainTimeoutMs: number;
	readonly logger: Logger;
};

/** How a shutdown ended. */
export type ShutdownOutcome = 'drained' | 'cut-off';

/** Shuts down the listener of an entry. */
export type Shutdown = {
	/** True after the shutdown has started. */
	readonly isDraining: () => boolean;
	readonly run: () => Promise<ShutdownOutcome>;
};

/** Prepares the shutdown of `server`; has no effect until `run` is called. */
export const createShutdown = (options: ShutdownOptions): Shutdown => {
	const {server, logger} = options;
	let draining = false;

	/** Disables keep-alive while draining, so that callers open their next connection to another entry. */
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
			logger.info('entry draining', {acceptMs: options.acceptMs, drainTimeoutMs: options.drainTimeoutMs});
			await delay(options.acceptMs);
			return drain();
		},
	};
};
