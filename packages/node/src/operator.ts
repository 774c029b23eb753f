/** The operators' interface of a daemon: metrics, status and commands over HTTP. */

import type http from 'node:http';
import type {Registry} from 'prom-client';
import type {ErrorBarrier} from './error-barrier.ts';
import {createGuardedServer} from './guarded-server.ts';
import {listen, sendJson} from './http.ts';

/** Returns the JSON body of the response to a request of an operator, or `undefined` if the path is unknown. */
export type OperatorHandler = (method: string, url: URL) => unknown;

/** A running operators' interface. */
export type OperatorServer = {
	readonly port: number;
	readonly close: () => void;
};

/** Address to listen on, metrics and request handler. */
export type OperatorOptions = {
	readonly address: string;
	/** 0 for any free port. */
	readonly port: number;
	readonly registry: Registry;
	readonly handle: OperatorHandler;
	readonly errors?: ErrorBarrier;
	/** Number of open connections, of which the stalest is closed for a new one; no limit where it is absent. */
	readonly maxConnections?: number;
	/** Called when a connection is closed to keep a limit. */
	readonly onClosed?: (reason: string) => void;
};

/** Starts the interface: `/metrics` returns the Prometheus text format, `handle` serves all other paths. */
export const createOperatorServer = async (options: OperatorOptions): Promise<OperatorServer> => {
	const handle = async (url: URL, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		if (url.pathname === '/metrics') {
			response.setHeader('content-type', options.registry.contentType);
			response.end(await options.registry.metrics());
			return;
		}

		const body: unknown = await options.handle(request.method ?? 'GET', url);
		if (body === undefined) {
			sendJson(response, 404, {error: `unknown path ${url.pathname}`});
			return;
		}

		sendJson(response, 200, body);
	};

	const server = createGuardedServer({
		place: 'operator', errors: options.errors, maxConnections: options.maxConnections, onClosed: options.onClosed, handle,
	});
	const port = await listen(server, options.port, options.address);
	return {
		port,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
