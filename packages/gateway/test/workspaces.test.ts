import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetConfig, PrefixRoute, Workspace} from '@egretwing/core';
import {createLogger, digestKey} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(231)}.1`;
const gatewayPort = 21_800;
const logLevel = 4;

const keyOf = (name: string): string => `secret-of-${name}`;

const createWorkspace = (name: string, keys: readonly string[] = [keyOf(name)]): Workspace => ({name, keyDigests: keys.map(key => digestKey(key))});

const createRoute = (name: string, changes: Partial<PrefixRoute> = {}): PrefixRoute => ({
	name, hostName: 'a.example', pathPrefix: `/${name}/`, semantics: 'idempotent', timeoutMs: 2000, latencyObjectiveMs: 1500, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}], ...changes,
});

const createConfig = (version: number, workspaces: readonly Workspace[]): FleetConfig => ({
	version,
	routes: [createRoute('keyed'), createRoute('open', {isPublic: true})],
	services: [{name: 's', healthPath: '/', connectionsPerInstance: 10}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
	workspaces,
});

type Answer = {
	readonly statusCode: number;
	/** Headers that the instance got; undefined when it got no request. */
	readonly received: http.IncomingHttpHeaders | undefined;
};

describe('workspaces at the gateway', () => {
	let config = createConfig(1, [createWorkspace('first'), createWorkspace('second')]);
	const lines: string[] = [];
	const receivedByPath = new Map<string, http.IncomingHttpHeaders>();
	let gateway: Gateway;
	let nextPath = 0;
	const instance = http.createServer((incoming, response) => {
		receivedByPath.set(incoming.url!, incoming.headers);
		incoming.resume();
		response.writeHead(200, {'egretwing-request-id': incoming.headers['egretwing-request-id'], 'egretwing-signature': 'signed', 'content-length': 2}).end('ok');
	});

	const createStore = (port: number): StoreClient => ({
		readAll: async topic => Ok({
			...(topic === 'config' && {config}),
			entries: topic === 'config'
				? []
				: [{
					instanceId: 'i',
					revision: 1,
					record: {
						service: 's', address, port, dataCentre: 'a', slots: 4, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
					},
				}],
			refused: [],
			asOf: 10,
		}),
		async watch(topic) {
			await delay(20);
			return Ok({
				...(topic === 'config' && {config}), entries: [], refused: [], asOf: 10,
			});
		},
		close: () => undefined,
	});

	before(async () => {
		await new Promise<void>(resolve => {
			instance.listen(0, address, resolve);
		});
		const logger = createLogger('test', 'g', logLevel, line => {
			lines.push(line);
		});
		gateway = await startGateway(createTestSettings('g', address, gatewayPort), {
			store: createStore((instance.address() as AddressInfo).port), headerNames: defaultHeaderNames, logger,
		});
		while (!gateway.isReady()) {
			await delay(20);
		}
	});

	after(async () => {
		await gateway.shutdown();
		instance.close();
		instance.closeAllConnections();
	});

	const ask = async (route: string, headers: http.OutgoingHttpHeaders): Promise<Answer> => {
		const path = `/${route}/${nextPath++}`;
		const statusCode = await new Promise<number>((resolve, reject) => {
			http.get({
				host: address, port: gatewayPort, path, headers: {host: 'a.example', 'egretwing-request-id': path, ...headers}, agent: false,
			}, answer => {
				answer.resume();
				resolve(answer.statusCode!);
			}).once('error', reject);
		});
		return {statusCode, received: receivedByPath.get(path)};
	};

	const publish = async (next: FleetConfig): Promise<void> => {
		config = next;
		while (!lines.some(line => line.includes('configuration in force') && line.includes(`"version":${next.version}`))) {
			await delay(20);
		}
	};

	const cases: ReadonlyArray<{
		readonly title: string;
		readonly route: string;
		readonly headers: http.OutgoingHttpHeaders;
		readonly expected: {readonly statusCode: number; readonly workspace?: string};
	}> = [
		{
			title: 'is told to the instance', route: 'keyed', headers: {authorization: `Bearer ${keyOf('first')}`}, expected: {statusCode: 200, workspace: 'first'},
		},
		{
			title: 'is found by its key whatever the caller names', route: 'keyed', headers: {authorization: `Bearer ${keyOf('first')}`, 'egretwing-workspace': 'second'}, expected: {statusCode: 200, workspace: 'first'},
		},
		{
			title: 'is not taken from the caller on a public route', route: 'open', headers: {'egretwing-workspace': 'second'}, expected: {statusCode: 200},
		},
		{
			title: 'is told on a public route where the key is known', route: 'open', headers: {authorization: `Bearer ${keyOf('second')}`}, expected: {statusCode: 200, workspace: 'second'},
		},
		{
			title: 'can be kept out of a list of connection headers', route: 'keyed', headers: {authorization: `Bearer ${keyOf('first')}`, connection: 'close, egretwing-workspace'}, expected: {statusCode: 200, workspace: 'first'},
		},
		{
			title: 'is missing where the key is unknown', route: 'keyed', headers: {authorization: 'Bearer other'}, expected: {statusCode: 401},
		},
		{
			title: 'is missing where there is no key', route: 'keyed', headers: {'egretwing-workspace': 'first'}, expected: {statusCode: 401},
		},
	];
	for (const {title, route, headers, expected: {statusCode, workspace}} of cases) {
		it(`answers ${statusCode} to a request whose workspace ${title}`, async () => {
			const answer = await ask(route, headers);
			expect(answer.statusCode).to.equal(statusCode);
			expect(answer.received === undefined).to.equal(statusCode !== 200);
			expect(answer.received?.['egretwing-workspace']).to.equal(workspace);
			expect(answer.received?.authorization).to.equal(undefined);
		});
	}

	it('follows keys that are added, moved and withdrawn', async () => {
		const authorization = `Bearer ${keyOf('moving')}`;
		await publish(createConfig(2, [createWorkspace('first', [keyOf('moving')]), createWorkspace('second')]));
		const added = await ask('keyed', {authorization});
		await publish(createConfig(3, [createWorkspace('first'), createWorkspace('second', [keyOf('moving')])]));
		const moved = await ask('keyed', {authorization});
		await publish(createConfig(4, [createWorkspace('first'), createWorkspace('second')]));
		const withdrawn = await ask('keyed', {authorization});
		expect([added, moved, withdrawn].map(({statusCode, received}) => [statusCode, received?.['egretwing-workspace']])).to.deep.equal([
			[200, 'first'], [200, 'second'], [401, undefined],
		]);
	});

	it('refuses a request whose key was withdrawn while its body arrived', async () => {
		await publish(createConfig(5, [createWorkspace('first', [keyOf('withdrawn')])]));
		const socket = net.connect(gatewayPort, address);
		const answered = new Promise<string>(resolve => {
			socket.once('data', data => {
				resolve(data.toString('latin1'));
			});
		});
		socket.write(`POST /keyed/slow HTTP/1.1\r\nhost: a.example\r\negretwing-request-id: slow\r\nauthorization: Bearer ${keyOf('withdrawn')}\r\ncontent-length: 2\r\n\r\na`);
		await delay(50);
		await publish(createConfig(6, [createWorkspace('first')]));
		socket.write('b');
		const answer = await answered;
		socket.destroy();
		expect(answer).to.match(/^HTTP\/1\.1 401 /v);
		expect(receivedByPath.has('/keyed/slow')).to.equal(false);
	});

	it('writes no key to the log', () => {
		expect(lines.filter(line => line.includes('secret-of-'))).to.deep.equal([]);
	});
});
