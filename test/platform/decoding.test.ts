import type {RequestSemantics, Workspace} from '@egretwing/core';
import {digestKey} from '@egretwing/node';
import {expect} from 'chai';
import {decodeConfig} from '../../platform/decode-config.ts';
import {decodeInstance} from '../../platform/decode-instance.ts';
import {translateSettings} from '../../platform/settings.ts';

const routeColumns = ['name', 'host', 'prefix', 'route_type', 'timeout_ms', 'target_latency_ms', 'priority', 'traffic_split', 'max_attempts', 'service'];

const config = (changes: Readonly<Record<string, unknown>> = {}) => ({
	version: '0000000c',
	routes: {
		columns: routeColumns,
		rows: [
			['r-1', 'A.example', '/x/', 'safe', 1500, 800, 2, [{service: 's1', weight: 90}, {service: 's2', weight: 10}], 2, null],
			['r-2', 'b.example', '/y/', 'upload', 1200, 800, 1, null, 2, 's3'],
		],
	},
	services: {columns: ['name', 'health_check_path', 'max_connections', 'protocol', 'tls'], rows: [['s1', '/health', 390, 'h1', false]]},
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	...changes,
});

describe('configuration of the platform', () => {
	it('is decoded into the types of the gateway', () => {
		const decoded = decodeConfig(config()).unwrap();
		expect(decoded.version).to.equal(12);
		expect(decoded.routes.map(({hostName, semantics, rank, services}) => [hostName, semantics, rank, services.length])).to.deep.equal([
			['a.example', 'idempotent', 2, 2],
			['b.example', 'at-most-once', 1, 1],
		]);
		expect(decoded.limits.idleTimeoutMs).to.equal(15_000);
	});

	const semantics: ReadonlyArray<readonly [routeType: string, expected: RequestSemantics]> = [
		['safe', 'idempotent'],
		['download', 'idempotent'],
		['unsafe', 'at-most-once'],
		['upload', 'at-most-once'],
		// A type of a later version: the other routes stay in force, and its requests are never repeated.
		['unheard-of', 'at-most-once'],
	];
	for (const [routeType, expected] of semantics) {
		it(`gives routes of type ${routeType} the semantics ${expected}`, () => {
			const decoded = decodeConfig(config({routes: {columns: routeColumns, rows: [['r', 'a', '/', routeType, 1, 1, 1, null, 1, 's']]}})).unwrap();
			expect(decoded.routes[0]!.semantics).to.equal(expected);
		});
	}

	it('gives large answers to routes of type download alone', () => {
		const rows = ['safe', 'download', 'upload'].map(routeType => ['r', 'a', `/${routeType}/`, routeType, 1, 1, 1, null, 1, 's']);
		expect(decodeConfig(config({routes: {columns: routeColumns, rows}})).unwrap().routes.map(({hasLargeAnswers}) => hasLargeAnswers)).to.deep.equal([undefined, true, undefined]);
	});

	const workspaceColumns = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'];
	const workspaces: ReadonlyArray<readonly [title: string, row: readonly unknown[], expected: Omit<Workspace, 'name' | 'keyDigests'>]> = [
		['with a priority and a quota', ['w', ['k1', 'k2'], 1, 172, 80], {rank: 1, quota: {ratePerSecond: 172, burst: 80}}],
		['without a priority', ['w', ['k1', 'k2'], null, 1, null], {quota: {ratePerSecond: 1, burst: 0}}],
		['without a limit where the rate is absent', ['w', ['k1', 'k2'], 0, null, 5], {rank: 0}],
		['without a limit where the rate is 0', ['w', ['k1', 'k2'], 0, 0, 5], {rank: 0}],
	];
	for (const [title, row, expected] of workspaces) {
		it(`decodes a workspace ${title}, and only digests of its keys`, () => {
			const decoded = decodeConfig(config({tenants: {columns: workspaceColumns, rows: [row]}})).unwrap();
			expect(decoded.workspaces).to.deep.equal([{name: 'w', keyDigests: ['k1', 'k2'].map(key => digestKey(key)), ...expected}]);
		});
	}

	it('has no workspaces where none are written', () => {
		expect(decodeConfig(config()).unwrap().workspaces).to.equal(undefined);
	});

	const refused: ReadonlyArray<readonly [title: string, written: unknown]> = [
		['a value that is no object', 'text'],
		['an absent value', undefined],
		['no version', config({version: undefined})],
		['a version that is not hexadecimal', config({version: 'xyz'})],
		['a route whose type is no text', config({routes: {columns: routeColumns, rows: [['r', 'a', '/', 7, 1, 1, 1, null, 1, 's']]}})],
		['a workspace without a name', config({tenants: {columns: ['api_keys'], rows: [[['k']]]}})],
		['a workspace whose name can be no header value', config({tenants: {columns: ['name', 'api_keys'], rows: [['a\r\nb', ['k']]]}})],
		['a workspace with a key that is no text', config({tenants: {columns: ['name', 'api_keys'], rows: [['w', [7]]]}})],
		['a negative rate', config({tenants: {columns: ['name', 'api_keys', 'rate_per_s'], rows: [['w', [], -1]]}})],
		['a route without a service', config({routes: {columns: routeColumns, rows: [['r', 'a', '/', 'safe', 1, 1, 1, null, 1, null]]}})],
		['rows without columns', config({routes: {rows: []}})],
		['missing limits', config({limits: {}})],
	];
	for (const [title, written] of refused) {
		it(`is refused with ${title}`, () => {
			expect(decodeConfig(written).isErr()).to.equal(true);
		});
	}
});

const registration = (changes: Readonly<Record<string, unknown>> = {}) => ({
	address: '10.128.0.9:8080',
	born: 1_700_000_000_000,
	info: {
		service: 's1', version: 'v1', zone: 'a', slots: 2,
	},
	status: {state: 'ready', sequence: 4, warmup_left_ms: 120},
	...changes,
});

/** Deeper than any real program nests its values. */
const nestingDepth = 300_000;

const deeplyNested: unknown = JSON.parse(`${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`);

describe('registration of an instance', () => {
	it('is decoded into the types of the gateway', () => {
		expect(decodeInstance(registration()).unwrap()).to.deep.equal({
			service: 's1', address: '10.128.0.9', port: 8080, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 120, bornAtMs: 1_700_000_000_000,
		});
	});

	it('may have unknown fields, however deeply nested', () => {
		expect(decodeInstance(registration({odd: deeplyNested})).isOk()).to.equal(true);
	});

	const refused: ReadonlyArray<readonly [title: string, written: unknown]> = [
		['a value that is no object', 7],
		['bytes that are not JSON', undefined],
		['no address', registration({address: undefined})],
		['an address without a port', registration({address: '10.0.0.1'})],
		['a port out of range', registration({address: '10.0.0.1:65536'})],
		['port 0', registration({address: '10.0.0.1:0'})],
		['an address that is not an IPv4 address', registration({address: '10.0.0.256:8080'})],
		['more slots than a port can have connections', registration({info: {service: 's1', zone: 'a', slots: 1e15}})],
		['a number that is parsed as infinity', registration({status: {state: 'ready', sequence: Number('1e400'), warmup_left_ms: 0}})],
		['an unbounded warm-up time', registration({status: {state: 'ready', sequence: 1, warmup_left_ms: 1e300}})],
		['a deeply nested value', deeplyNested],
		['a deeply nested field', registration({info: deeplyNested})],
		['an unknown state', registration({status: {state: 'resting', sequence: 1, warmup_left_ms: 0}})],
		['slots of another type', registration({info: {service: 's1', zone: 'a', slots: '2'}})],
		['a start time that is not an integer', registration({born: 1.5})],
		['no status', registration({status: undefined})],
	];
	for (const [title, written] of refused) {
		it(`is refused with ${title}`, () => {
			expect(decodeInstance(written).isErr()).to.equal(true);
		});
	}
});

const rendered = (changes: Readonly<Record<string, unknown>> = {}) => ({
	hostId: 'front-a-1',
	address: '10.1.0.34',
	region: 'r',
	dataCentre: 'a',
	entryListener: '10.1.0.34:8548',
	readinessListener: '10.1.0.34:8542',
	locateListener: '10.1.0.34:8546',
	peerPort: 7540,
	seeds: ['10.1.0.34:8544', '10.2.0.34:8544'],
	cpuShare: 0.54,
	cores: 1,
	linkMegabitsPerSecond: 1000,
	storeAddress: '10.200.1.7:8541',
	bounds: {
		grace_s: 6, retry_budget_ratio: 0.2, budget_slack: 62, budget_window_s: 10, unknown_bound: true,
	},
	...changes,
});

describe('settings rendered by the platform', () => {
	it('are translated into settings of the gateway', () => {
		const {gateway, readinessPort, storePort} = translateSettings(rendered()).unwrap();
		expect([gateway.entryPort, gateway.locatePort, readinessPort, storePort]).to.deep.equal([8548, 8546, 8542, 8541]);
		expect(gateway.seedAddresses).to.deep.equal(['10.1.0.34', '10.2.0.34']);
		expect(gateway.shutdownMs).to.equal(6000);
		expect(gateway.retryLimits).to.deep.equal({ratio: 0.2, slack: 62, windowMs: 10_000});
	});

	const quotaBounds: ReadonlyArray<readonly [title: string, bounds: Readonly<Record<string, unknown>>, expected: unknown]> = [
		['as written', {quota_window_s: 3, quota_overage: 0.1, quota_slack: 7}, {windowMs: 3000, overageShare: 0.1, slack: 7}],
		['of five seconds, a quarter and 20 requests where they name none', {}, {windowMs: 5000, overageShare: 0.25, slack: 20}],
	];
	for (const [title, bounds, expected] of quotaBounds) {
		it(`have limits of quotas ${title}`, () => {
			expect(translateSettings(rendered({bounds})).unwrap().gateway.quotaLimits).to.deep.equal(expected);
		});
	}

	const memories: ReadonlyArray<readonly [title: string, written: unknown, memoryMegabytes: number]> = [
		['as written', 512, 512],
		['of 350 MB where they name none', undefined, 350],
		['of 350 MB where it is null', null, 350],
	];
	for (const [title, memoryMegabytes, expected] of memories) {
		it(`give a memory ${title}`, () => {
			expect(translateSettings(rendered({memoryMegabytes})).unwrap().gateway.memoryMegabytes).to.equal(expected);
		});
	}

	const descriptors: ReadonlyArray<readonly [title: string, written: unknown, expected: number | undefined]> = [
		['a number of descriptors', 4100, 4100],
		['no limit on descriptors where they name none', undefined, undefined],
		['no limit on descriptors where it is null', null, undefined],
	];
	for (const [title, maxDescriptors, expected] of descriptors) {
		it(`give ${title}`, () => {
			expect(translateSettings(rendered({maxDescriptors})).unwrap().gateway.maxDescriptors).to.equal(expected);
		});
	}

	const hedgings: ReadonlyArray<readonly [title: string, written: unknown, expected: unknown]> = [
		['no hedges of slow answers where they name none', undefined, undefined],
		['no hedges of slow answers where they are null', null, undefined],
		['a limit on hedges with its window', {maxExtraShare: 0.02, windowMs: 5000}, {maxExtraShare: 0.02, windowMs: 5000}],
		['a limit on hedges with a window of 10 s', {maxExtraShare: 0.02}, {maxExtraShare: 0.02, windowMs: 10_000}],
	];
	for (const [title, hedging, expected] of hedgings) {
		it(`give ${title}`, () => {
			expect(translateSettings(rendered({hedging})).unwrap().gateway.hedging).to.deep.equal(expected);
		});
	}

	const capacities: ReadonlyArray<readonly [cpuShare: number, cores: number, link: number, capacity: number]> = [
		[0.54, 1, 1000, 0.54],
		[0.675, 2, 200, 1.35],
		[0.27, 1, 10, 0.1],
	];
	for (const [cpuShare, cores, linkMegabitsPerSecond, capacity] of capacities) {
		it(`give a capacity of ${capacity} for ${cores} x ${cpuShare} of a core and ${linkMegabitsPerSecond} Mbit/s`, () => {
			expect(translateSettings(rendered({cpuShare, cores, linkMegabitsPerSecond})).unwrap().gateway.capacity).to.equal(capacity);
		});
	}

	const refused: ReadonlyArray<readonly [field: string, changes: Readonly<Record<string, unknown>>]> = [
		['hostId', {hostId: null}],
		['entryListener', {entryListener: '10.1.0.34'}],
		['peerPort', {peerPort: 'x'}],
		['storeAddress', {storeAddress: null}],
		['grace_s', {bounds: {grace_s: 'soon'}}],
		['hedging.maxExtraShare', {hedging: {maxExtraShare: 1}}],
		['quota_window_s', {bounds: {quota_window_s: 0}}],
	];
	for (const [field, changes] of refused) {
		it(`are refused with the name of the field ${field}`, () => {
			const issues = translateSettings(rendered(changes)).unwrapErr();
			expect(issues.map(issue => issue.field)).to.deep.equal([field]);
		});
	}

	it('are accepted without seeds and without bounds', () => {
		expect(translateSettings(rendered({seeds: null, bounds: {}})).unwrap().gateway.seedAddresses).to.deep.equal([]);
	});
});
