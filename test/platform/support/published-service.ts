/** A service behind gateways as processes, for tests: its configuration in the store, an instance that records its callers, and requests. */

import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listen} from '@egretwing/node';
import {platformHeaderNames as names} from '../../../platform/names.ts';
import {
	buildGateway, gatewayPorts, startGateways, type SoakGateways,
} from '../soak/gateways.ts';
import {createSoakStore, type SoakStore} from '../soak/store.ts';

const hostName = 'service.example';
const instanceId = 'i-1';
const instancePort = 8000;
const dataCentres = ['dc-1', 'dc-2', 'dc-3'];
/** Time for members to discover each other and to elect the readers. */
const settlingMs = 4000;
/** Longer than a watch of a reader waits. */
const observeReadersMs = 2500;

/** Service of the instance, and the route to it. */
export const serviceName = 'first';

/** Writes a configuration with a route and a service for each name. */
export const configure = (store: SoakStore, version: number, routeNames: readonly string[]): void => {
	store.put('op/config', {
		version: version.toString(16).padStart(8, '0'),
		routes: routeNames.map(name => ({
			name, host: hostName, prefix: `/${name}/`, route_type: 'safe', timeout_ms: 1000, target_latency_ms: 800, max_attempts: 2, priority: 1, service: name,
		})),
		services: routeNames.map(name => ({name, health_check_path: '/health', max_connections: 400})),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 5000, idle_timeout_ms: 8000,
		},
	});
};

/** Sends a request to the gateway at `address` and returns the status code of the answer. */
export const get = async (address: string, path: string): Promise<number> => new Promise((resolve, reject) => {
	const request = http.get({
		host: address, port: gatewayPorts.front, path, headers: {host: hostName, [names.requestId]: `${address} ${path}`, [names.deadlineMs]: '1000'}, agent: false,
	}, response => {
		response.resume();
		resolve(response.statusCode ?? 0);
	});
	request.once('error', reject);
});

/** Starts and registers an instance that records from which addresses it gets requests. */
const startRecordingInstance = async (store: SoakStore, address: string) => {
	const callers: string[] = [];
	const server = http.createServer((request, response) => {
		callers.push(request.socket.remoteAddress ?? '');
		response.writeHead(200, {[names.requestId]: request.headers[names.requestId], [names.signature]: 's', 'content-length': 0}).end();
	});
	await listen(server, instancePort, address);
	store.put(`servers/${instanceId}`, {
		address: `${address}:${instancePort}`,
		born: 1,
		info: {
			service: serviceName, zone: dataCentres[0], version: '1', slots: 8,
		},
		status: {state: 'ready', sequence: 1, warmup_left_ms: 0},
	});
	return {
		callers,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

/** Gateways with one instance of the service `serviceName`, once they have discovered each other. */
export type PublishedService = {
	readonly store: SoakStore;
	/** Removes the entry of the instance, which serves on. */
	readonly removeInstance: () => void;
	/** Addresses of the gateways that sent the instance a request; may be emptied. */
	readonly callers: string[];
	/** Addresses of the gateways. */
	readonly addresses: readonly string[];
	/** Addresses of the gateways that read the store. */
	readonly readers: ReadonlySet<string>;
	readonly signal: (address: string, signal: Parameters<SoakGateways['signal']>[1]) => void;
};

/** Starts `gatewayCount` gateways in `network`, the first three parts of their addresses, and ends them after `play`. */
export const withPublishedService = async (network: string, gatewayCount: number, play: (service: PublishedService) => Promise<void>): Promise<void> => {
	const storeAddress = `${network}.100`;
	const addresses = Array.from({length: gatewayCount}, (_, number) => `${network}.${number + 1}`);
	const store = await createSoakStore(storeAddress, gatewayPorts.store);
	const instance = await startRecordingInstance(store, `${network}.101`);
	configure(store, 1, [serviceName]);
	const gateways = startGateways({
		file: await buildGateway(), addresses, dataCentreOf: number => dataCentres[number % dataCentres.length]!, storeAddress,
	});
	const signal: PublishedService['signal'] = (address, name) => {
		gateways.signal(addresses.indexOf(address), name);
	};

	try {
		await delay(settlingMs);
		store.takeCallers();
		await delay(observeReadersMs);
		await play({
			store,
			removeInstance() {
				store.remove(`servers/${instanceId}`);
			},
			callers: instance.callers,
			addresses,
			readers: store.takeCallers(),
			signal,
		});
	} finally {
		for (const address of addresses) {
			signal(address, 'SIGKILL');
		}

		await gateways.stop();
		instance.close();
		store.close();
	}
};
