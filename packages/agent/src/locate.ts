/** Tells callers which entry hosts to use. */

import type {FleetMember, LocateAnswer, LocatedKey} from '@egretwing/core';
import {
	createGuardedServer, listen, sendJson, type ErrorBarrier, type GuardedHandler,
} from '@egretwing/node';

/** Address to listen on and sources of the responses. */
export type LocateOptions = {
	readonly address: string;
	readonly port: number;
	readonly keepMs: number;
	readonly errors?: ErrorBarrier;
	/** Issues a prefix of idempotency keys for `service`. */
	readonly keyFor: (service: string) => LocatedKey | undefined;
	/** Returns the entry hosts for `service`, in the order in which a caller should try them. */
	readonly entriesFor: (service: string, callerDataCentre?: string) => readonly FleetMember[];
};

/** A running locate interface for callers. */
export type LocateServer = {
	readonly port: number;
	readonly close: () => void;
};

const createAnswer = (service: string, callerDataCentre: string | undefined, options: LocateOptions): LocateAnswer => ({
	service,
	entries: options.entriesFor(service, callerDataCentre).map(({host, incarnation}) => ({
		hostId: host.hostId, address: host.address, port: host.entryPort, dataCentre: host.dataCentre, incarnation,
	})),
	keepMs: options.keepMs,
	key: options.keyFor(service),
});

/** Serves `GET /v1/locate?service=NAME`; with `&dataCentre=NAME` the entries in that data centre come first. */
export const createLocateServer = async (options: LocateOptions): Promise<LocateServer> => {
	const handle: GuardedHandler = (url, _request, response) => {
		if (url.pathname !== '/v1/locate') {
			sendJson(response, 404, {error: `unknown path ${url.pathname}`});
			return;
		}

		const answer = createAnswer(url.searchParams.get('service') ?? '', url.searchParams.get('dataCentre') ?? undefined, options);
		sendJson(response, answer.entries.length === 0 ? 503 : 200, answer);
	};

	const server = createGuardedServer({place: 'locate', errors: options.errors, handle});
	const port = await listen(server, options.port, options.address);
	return {
		port,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
