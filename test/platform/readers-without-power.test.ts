import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {listen} from '@egretwing/node';
import {platformHeaderNames as names} from '../../platform/names.ts';
import {networkOf} from '../support/network.ts';
import {buildGateway, gatewayPorts, startGateways} from './soak/gateways.ts';
import {createSoakStore, type SoakStore} from './soak/store.ts';

const network = networkOf(214);
const storeAddress = `${network}.100`;
const instanceAddress = `${network}.101`;
const instancePort = 8000;
const addresses = Array.from({length: 8}, (_, number) => `${network}.${number + 1}`);
const dataCentres = ['dc-1', 'dc-2', 'dc-3'];
/** Gateways without power, the readers among them. */
const stoppedCount = 4;
/** Time for members to discover each other and to elect the readers. */
const settlingMs = 4000;
/** Longer than a watch of a reader waits. */
const observeReadersMs = 2500;
/** Time within which a change of the configuration, or the removal of an instance, has to be in force (`config_apply_ms`, `drain_ms`). */
const applyMs = 2000;

const configure = (store: SoakStore, version: number, routeNames: readonly string[]): void => {
	store.put('op/config', {
		version: version.toString(16).padStart(8, '0'),
		routes: routeNames.map(name => ({
			name, host: 'power.example', prefix: `/${name}/`, route_type: 'safe', timeout_ms: 1000, target_latency_ms: 800, max_attempts: 2, priority: 1, service: name,
		})),
		services: routeNames.map(name => ({name, health_check_path: '/health', max_connections: 400})),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 5000, idle_timeout_ms: 8000,
		},
	});
};

const get = async (address: string, path: string): Promise<number> => new Promise((resolve, reject) => {
	const request = http.get({
		host: address, port: gatewayPorts.front, path, headers: {host: 'power.example', [names.requestId]: `${address} ${path}`, [names.deadlineMs]: '1000'}, agent: false,
	}, response => {
		response.resume();
		resolve(response.statusCode ?? 0);
	});
	request.once('error', reject);
});

/** Starts an instance that records from which addresses it gets requests. */
const startInstance = async (store: SoakStore) => {
	const callers: string[] = [];
	const server = http.createServer((request, response) => {
		callers.push(request.socket.remoteAddress ?? '');
		response.writeHead(200, {[names.requestId]: request.headers[names.requestId], [names.signature]: 's', 'content-length': 0}).end();
	});
	await listen(server, instancePort, instanceAddress);
	store.put('servers/i-1', {
		address: `${instanceAddress}:${instancePort}`,
		born: 1,
		info: {
			service: 'first', zone: dataCentres[0], version: '1', slots: 8,
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

describe('gateways whose store readers all lose power', () => {
	// Guards against gateways that keep to an old configuration, and to instances that are gone, until the membership declares the readers dead.
	for (const changeAfterMs of [1, 700]) {
		it(`apply changes made ${changeAfterMs} ms later within ${applyMs} ms`, async function () {
			this.timeout(60_000);
			const store = await createSoakStore(storeAddress, gatewayPorts.store);
			const instance = await startInstance(store);
			configure(store, 1, ['first']);
			const gateways = startGateways({
				file: await buildGateway(), addresses, dataCentreOf: number => dataCentres[number % dataCentres.length]!, storeAddress,
			});
			try {
				await delay(settlingMs);
				store.takeCallers();
				await delay(observeReadersMs);
				const readers = store.takeCallers();
				expect(readers).to.have.length(2);
				const stopped = [...new Set([...readers, ...addresses])].slice(0, stoppedCount);
				const others = addresses.filter(address => !stopped.includes(address));
				expect(await Promise.all(others.map(async address => get(address, '/first/x')))).to.deep.equal(others.map(() => 200));

				for (const address of stopped) {
					gateways.signal(addresses.indexOf(address), 'SIGSTOP');
				}

				await delay(changeAfterMs);
				const changedAtMs = performance.now();
				configure(store, 2, ['first', 'second']);
				store.remove('servers/i-1');
				await delay(changedAtMs + applyMs - performance.now());
				instance.callers.length = 0;
				const statusCodes = await Promise.all(others.flatMap(address => [get(address, '/first/x'), get(address, '/second/x')]));
				expect(statusCodes).to.deep.equal(others.flatMap(() => [503, 503]));
				expect(instance.callers).to.deep.equal([]);
			} finally {
				for (const number of addresses.keys()) {
					gateways.signal(number, 'SIGKILL');
				}

				await gateways.stop();
				instance.close();
				store.close();
			}
		});
	}
});
