import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {
	createRandom, type EntryHost, type FleetConfig, type MemberView, type QuotaReport, type Workspace,
} from '@egretwing/core';
import {createLogger, digestKey} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {lostPeerMemoryMs} from '../src/constants.ts';
import {createGatewayMetrics, type GatewayMetrics} from '../src/metrics.ts';
import {createQuotas, type Quotas} from '../src/quotas.ts';
import {createTestSettings} from './support/settings.ts';

const limits = {windowMs: 5000, overageShare: 0.25, slack: 20};

/** 100 requests in a window; 145 may be admitted at most. */
const limited: Workspace = {name: 'w', keyDigests: [], quota: {ratePerSecond: 10, burst: 50}};

type Rig = {
	readonly quotas: Quotas;
	readonly metrics: GatewayMetrics;
	readonly sent: Array<readonly [peerId: string, report: QuotaReport]>;
	readonly setNow: (nowMs: number) => void;
};

const hostOf = (hostId: string): EntryHost => ({
	role: 'entry', hostId, address: '10.0.0.1', region: 'r', dataCentre: 'a', state: 'live', entryPort: 1, locatePort: 2, peerPort: 3, capacity: 1,
});

const memberOf = (hostId: string, status: MemberView['status'], entryState: MemberView['entryState'] = 'up'): MemberView => ({
	host: hostOf(hostId), status, entryState, entryIncarnation: 1, usable: status === 'alive',
});

type Fleet = {
	readonly placed: readonly string[];
	readonly members: readonly MemberView[];
	readonly seeds: number;
};

const createRig = ({placed, members, seeds}: Fleet, startedAtMs = 0): Rig => {
	let timeMs = startedAtMs;
	const sent: Array<readonly [peerId: string, report: QuotaReport]> = [];
	const metrics = createGatewayMetrics();
	const quotas = createQuotas({
		hostId: 'g-1',
		limits,
		random: createRandom(1),
		nowMs: () => timeMs,
		fleet: {
			peerIds: () => members.map(({host}) => host.hostId), recentlyPlacedPeerIds: () => placed, isUnplaced: () => false,
		},
		members: () => [memberOf('g-1', 'alive'), ...members],
		seedCount: () => seeds,
		metrics,
		send(peerId, report) {
			sent.push([peerId, report]);
		},
	});
	return {
		quotas, metrics, sent, setNow(nowMs) {
			timeMs = nowMs;
		},
	};
};

const longAfterMs = 100_000;

const admitMany = ({quotas}: Rig, count: number, workspace = limited): number => {
	let admitted = 0;
	for (let index = 0; index < count; index++) {
		admitted += Number(quotas.admit(workspace).type === 'permit');
	}

	return admitted;
};

const nobody: Fleet = {placed: [], members: [], seeds: 0};

describe('quotas of a gateway', () => {
	const fleets: ReadonlyArray<readonly [title: string, fleet: Fleet, admitted: readonly [atLeast: number, atMost: number]]> = [
		['admit the whole limit at a gateway that is alone', nobody, [100, 145]],
		['admit a share of it where others are known by their seeds only', {...nobody, seeds: 3}, [25, 36]],
		['admit a third of it where two silent peers are there', {...nobody, members: [memberOf('g-2', 'alive'), memberOf('g-3', 'alive')]}, [33, 48]],
		['admit a fifth of it where callers are sent to four silent peers', {
			...nobody, placed: ['g-2', 'g-3', 'g-4', 'g-5'], members: ['g-2', 'g-3', 'g-4', 'g-5'].map(id => memberOf(id, 'alive')),
		}, [20, 29]],
		['admit half of it where another gateway was lost', {...nobody, members: [memberOf('g-2', 'dead')]}, [15, 36]],
		['admit a half of it where another gateway has ended in order', {...nobody, members: [memberOf('g-2', 'left', 'draining')]}, [50, 72]],
	];
	for (const [title, fleet, [atLeast, atMost]] of fleets) {
		it(title, () => {
			const rig = createRig(fleet);
			rig.setNow(longAfterMs);
			rig.quotas.setWorkspaces([limited]);
			expect(admitMany(rig, 500)).to.be.within(atLeast, atMost);
		});
	}

	it('forget a gateway that was lost long ago', () => {
		const rig = createRig({...nobody, members: [memberOf('g-2', 'dead')]});
		rig.setNow(longAfterMs);
		rig.quotas.setWorkspaces([limited]);
		const early = admitMany(rig, 500);
		rig.setNow(longAfterMs + lostPeerMemoryMs);
		rig.quotas.tick();
		expect(admitMany(rig, 500)).to.be.above(early);
	});

	const inactive: ReadonlyArray<readonly [title: string, workspaces: readonly Workspace[] | undefined]> = [
		['no workspaces', undefined], ['no workspace with a quota', [{name: 'w', keyDigests: []}]],
	];
	for (const [title, workspaces] of inactive) {
		it(`limit nothing and send nothing where there is ${title}`, () => {
			const rig = createRig({...nobody, placed: ['g-2'], members: [memberOf('g-2', 'alive')]});
			rig.setNow(longAfterMs);
			rig.quotas.setWorkspaces(workspaces);
			expect(admitMany(rig, 1000, workspaces?.[0] ?? {name: 'w', keyDigests: []})).to.equal(1000);
			rig.quotas.receive('g-2', {
				upMs: 5000, memoryMs: 5000, rows: [['w', 100, 10, true, 0, 0]], strayIds: [],
			});
			rig.quotas.tick();
			expect(rig.sent).to.deep.equal([]);
		});
	}

	it('tell peers at once, and refuse with the use, the limit and a time to wait', () => {
		const rig = createRig({...nobody, placed: ['g-2', 'g-3'], members: [memberOf('g-2', 'alive'), memberOf('g-3', 'alive')]});
		rig.setNow(longAfterMs);
		rig.quotas.setWorkspaces([limited]);
		admitMany(rig, 200);
		expect(rig.sent.map(([peerId]) => peerId)).to.deep.equal(['g-2', 'g-3']);
		rig.quotas.receive('g-2', {
			upMs: 5000, memoryMs: 5000, rows: [['w', 200, 0, false, 0, 0]], strayIds: [],
		});
		const refused = rig.quotas.admit(limited);
		expect(refused.type === 'refusal' && refused.refusal.kind).to.equal('workspace-limit');
		expect(refused.type === 'refusal' && refused.retryAfterMs).to.be.within(50, 8000);
		expect(refused.type === 'refusal' && refused.logged).to.include({workspace: 'w', limit: 100, reported: 200});
	});

	const ends: ReadonlyArray<readonly [title: string, isKept: boolean, admittedAgain: number]> = [['given back when it reached no instance', false, 1], ['kept when an instance may have run it', true, 0]];
	for (const [title, isKept, admittedAgain] of ends) {
		it(`count a request that is ${title}`, async () => {
			const rig = createRig(nobody);
			rig.setNow(longAfterMs);
			rig.quotas.setWorkspaces([limited]);
			const permit = rig.quotas.admit(limited);
			admitMany(rig, 500);
			if (permit.type === 'permit') {
				permit.record(isKept);
				permit.settle();
				permit.settle();
			}

			expect(admitMany(rig, 2)).to.equal(admittedAgain);
			const {values} = await rig.metrics.quotaRequests.get();
			expect(values.find(({labels}) => labels.result === 'given-back')?.value ?? 0).to.equal(admittedAgain);
		});
	}
});

describe('a request of a workspace at its quota', () => {
	const address = `${networkOf(232)}.1`;
	const gatewayPort = 21_900;
	const authorization = 'Bearer secret';
	const lines: string[] = [];
	let gateway: Gateway;
	const instance = http.createServer((incoming, response) => {
		incoming.resume();
		response.writeHead(200, {'egretwing-request-id': incoming.headers['egretwing-request-id'], 'egretwing-signature': 'signed', 'content-length': 2}).end('ok');
	});

	const config: FleetConfig = {
		version: 1,
		routes: [{
			name: 'r', hostName: 'a.example', pathPrefix: '/', semantics: 'idempotent', timeoutMs: 2000, latencyObjectiveMs: 1500, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
		}],
		services: [{name: 's', healthPath: '/', connectionsPerInstance: 10}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
		},
		workspaces: [{name: 'w', keyDigests: [digestKey('secret')], quota: {ratePerSecond: 1, burst: 5}}],
	};

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
		async watch() {
			await delay(20);
			return Ok({entries: [], refused: [], asOf: 10});
		},
		close: () => undefined,
	});

	before(async () => {
		await new Promise<void>(resolve => {
			instance.listen(0, address, resolve);
		});
		gateway = await startGateway(createTestSettings('g', address, gatewayPort), {
			store: createStore((instance.address() as AddressInfo).port),
			headerNames: defaultHeaderNames,
			logger: createLogger('test', 'g', 4, line => {
				lines.push(line);
			}),
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

	const ask = async (id: number): Promise<http.IncomingMessage> => new Promise((resolve, reject) => {
		http.get({
			host: address, port: gatewayPort, path: `/${id}`, headers: {host: 'a.example', 'egretwing-request-id': `r-${id}`, authorization}, agent: false,
		}, answer => {
			answer.resume();
			resolve(answer);
		}).once('error', reject);
	});

	it('is served within the quota, and refused with 429 and a time to wait beyond it, before an instance gets it', async () => {
		const statusCodes: number[] = [];
		let retryAfter: string | undefined;
		for (let id = 0; id < 60; id++) {
			const answer = await ask(id);
			statusCodes.push(answer.statusCode!);
			retryAfter = answer.headers['retry-after'] ?? retryAfter;
		}

		// 10 in a window are the limit, 32.5 the ceiling. A gateway that has just started admits fewer.
		const served = statusCodes.filter(statusCode => statusCode === 200).length;
		expect(served).to.be.within(10, 32);
		expect(statusCodes.filter(statusCode => statusCode !== 200).every(statusCode => statusCode === 429)).to.equal(true);
		expect(statusCodes).to.include(429);
		expect(Number(retryAfter)).to.be.within(0.05, 8);
		expect(lines.some(line => line.includes('"kind":"workspace-limit"') && line.includes('"limit":10') && line.includes('"own":'))).to.equal(true);
	});
});
