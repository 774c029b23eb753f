import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetConfig, InstanceEntry} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type HeaderNames, type StoreClient,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(217)}.1`;
const firstPort = 21_900;

/** Slots of the only instance. */
const slots = 2;

const config: FleetConfig = {
	version: 1,
	routes: [{
		name: 'r', hostName: 'a.example', pathPrefix: '/r/', semantics: 'at-most-once', timeoutMs: 1000, latencyObjectiveMs: 800, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
	}],
	services: [{name: 's', healthPath: '/', connectionsPerInstance: 10}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
};

const createStore = (port: number): StoreClient => {
	const entry: InstanceEntry = {
		instanceId: 'i',
		revision: 1,
		record: {
			service: 's', address, port, dataCentre: 'a', slots, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
		},
	};
	return {
		readAll: async topic => Ok({
			...(topic === 'config' && {config}), entries: topic === 'config' ? [] : [entry], refused: [], asOf: 10,
		}),
		async watch() {
			await delay(200);
			return Ok({entries: [], refused: [], asOf: 10});
		},
		close: () => undefined,
	};
};

const startInstance = async () => {
	let runs = 0;
	const server = http.createServer((_incoming, response) => {
		runs++;
		response.writeHead(200, {'egretwing-request-id': 'r1', 'egretwing-signature': 'signed', 'content-length': 2}).end('ok');
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		runs: () => runs,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

/** Sends a request on a connection of its own; resolves with the status code of the answer, 0 for none. */
const send = async (port: number, target: string): Promise<number> => new Promise(resolve => {
	const socket = net.connect({host: address, port});
	let text = '';
	socket.setTimeout(2000, () => {
		socket.destroy();
	});
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		resolve(Number(/^HTTP\/1\.1 (\d{3})/v.exec(text)?.[1] ?? 0));
	});
	socket.write(`GET ${target} HTTP/1.1\r\nhost: a.example\r\negretwing-request-id: r1\r\nconnection: close\r\n\r\n`, 'latin1');
});

type Started = {readonly port: number; readonly runs: () => number; readonly inFlight: () => Promise<number>};

/** Runs a gateway and one instance while `act` is in progress. */
const withGateway = async (port: number, headerNames: HeaderNames, act: (started: Started) => Promise<void>): Promise<void> => {
	const instance = await startInstance();
	const gateway: Gateway = await startGateway(createTestSettings('g', address, port, {shutdownMs: 300}), {
		store: createStore(instance.port), headerNames, logger: createLogger('test', 'g', 0, () => undefined),
	});
	try {
		while (!gateway.isReady()) {
			await delay(20);
		}

		await act({
			port,
			runs: instance.runs,
			async inFlight() {
				const answer = await fetch(`http://${address}:${port + 3}/v1/status`);
				const {services} = await answer.json() as {readonly services: ReadonlyArray<{readonly ownInFlight: number}>};
				return services.reduce((sum, {ownInFlight}) => sum + ownInFlight, 0);
			},
		});
	} finally {
		await gateway.shutdown();
		instance.close();
	}
};

describe('requests that can\'t be sent to an instance', () => {
	const targets: ReadonlyArray<readonly [title: string, target: string]> = [
		['a tab in its path', '/r/x\ty'],
		['a tab in its query', '/r/x?a\tb'],
		['a form feed in its path', '/r/x\fy'],
		['a tab in an absolute target', 'http://a.example/r/\t'],
		['a form feed in the host of an absolute target', 'http://a.example\f/r/x'],
	];
	for (const [index, [title, target]] of targets.entries()) {
		// Guards against a request that is placed, can't be sent, and keeps its slot for good.
		it(`are refused as malformed before they take a slot: ${title}`, async () => {
			await withGateway(firstPort + (index * 10), defaultHeaderNames, async ({port, runs, inFlight}) => {
				const statusCodes: number[] = [];
				for (let count = 0; count <= slots; count++) {
					statusCodes.push(await send(port, target));
				}

				expect([statusCodes, runs(), await inFlight()]).to.deep.equal([[400, 400, 400], 0, 0]);
				expect(await send(port, '/r/proper')).to.equal(200);
			});
		});
	}

	// Guards against a slot that is never given back when something throws once the request is placed.
	it('give back their slots when the sending throws for a cause that was not foreseen', async () => {
		const headerNames: HeaderNames = {...defaultHeaderNames, targetInstance: 'not a token'};
		await withGateway(firstPort + 90, headerNames, async ({port, runs, inFlight}) => {
			for (let count = 0; count <= slots; count++) {
				expect(await send(port, '/r/x')).to.equal(0);
			}

			expect([runs(), await inFlight()]).to.deep.equal([0, 0]);
			const answer = await fetch(`http://${address}:${port + 3}/metrics`);
			expect(await answer.text()).to.include('egretwing_unexpected_errors_total{place="request"} 3');
		});
	});
});
