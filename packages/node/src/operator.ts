/** The operators' interface of a daemon: metrics, status and commands over HTTP. */

import http from 'node:http';
import type {Registry} from 'prom-client';
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
};

/** Starts the interface: `/metrics` returns the Prometheus text format, `handle` serves all other paths. */
export const createOperatorServer = async (options: OperatorOptions): Promise<OperatorServer> => {
	const server = http.createServer(async (request, response) => {
		const url = new URL(request.url ?? '/', 'http://operator');
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
