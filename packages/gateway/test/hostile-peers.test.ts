import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {deflateRawSync} from 'node:zlib';
import {expect} from 'chai';
import {
	createCatalogue, createCatalogueSync, createManualClock, createMembership, createQuotaGate, createRandom, fromReportRows, type EntryHost, type MemberUpdate, type Random,
} from '@egretwing/core';
import {createLogger, encodeFrame, encodeValue} from '@egretwing/node';
import {defaultHeaderNames, startGateway, type StoreClient} from '@egretwing/gateway';
import {Err} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {createDispatchers} from '../src/dispatchers.ts';
import {
	decodeMessage, encodeMessage, type DecodedMessage, type MeshMessage,
} from '../src/mesh-message.ts';
import {openBarrier} from './support/errors.ts';
import {createLargeConfig} from './support/large-config.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(216)}.1`;
const peerAddress = `${networkOf(216)}.2`;
const port = 21_800;

/** Several ticks of a gateway. */
const settlingMs = 1200;

const host = (changes: Partial<EntryHost> = {}): EntryHost => ({
	role: 'entry', hostId: 'h', address: peerAddress, region: 'r', dataCentre: 'a', state: 'live', entryPort: 1, locatePort: 2, peerPort: 3, capacity: 1, ...changes,
});

const row = ['h', peerAddress, 'r', 'a', 'live', 1, 2, 3, null] as const;
const memberRow = [row, 5, 'alive', 'up', 5, []] as const;

/** Copies a list with another value at `index`. */
const withItem = (list: readonly unknown[], index: number, value: unknown): readonly unknown[] => list.map((item, at) => at === index ? value : item);

const envelope = (message: unknown, from: readonly unknown[] = ['g-2', peerAddress, 7000]): Buffer => encodeValue([...from, message]);

const gossip = (changed: unknown): unknown => ({type: 'member', message: {type: 'gossip', updates: [changed]}});

const spread = (message: unknown): unknown => ({type: 'spread', message});

const record = {
	service: 's', address: '10.0.0.1', port: 80, dataCentre: 'a', slots: 1, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
};

const news = (entry: unknown): unknown => spread({
	type: 'news', entries: [entry], instancesAsOf: 4, configVersion: 1,
});

const route = {
	name: 'r', hostName: 'a.example', pathPrefix: '/', semantics: 'idempotent', timeoutMs: 1000, latencyObjectiveMs: 500, maxAttempts: 2, rank: 0, services: [{service: 's', weight: 1}],
};

const limits = {
	maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
};

const packedState = (config: unknown): unknown => spread({type: 'state', instancesAsOf: -1, packedConfig: deflateRawSync(encodeValue(config))});

const malformed: ReadonlyArray<readonly [title: string, bytes: Buffer]> = [
	['a number', encodeValue(4)],
	['nothing', encodeValue(null)],
	['a list without a message', encodeValue(['g', peerAddress, 7000])],
	['a message of an unknown type', envelope({type: 'other'})],
	['a message whose type is a name of all objects', envelope({type: 'toString'})],
	['a sender at port 99,999', envelope({type: 'join', host: row}, ['g-2', peerAddress, 99_999])],
	['a sender at port 0', envelope({type: 'join', host: row}, ['g-2', peerAddress, 0])],
	['a sender without an address', envelope({type: 'join', host: row}, ['g-2', 'not-an-ip', 7000])],
	['a sender whose id is a list', envelope({type: 'join', host: row}, [['g-2'], peerAddress, 7000])],
	['a host without an address', envelope({type: 'join', host: withItem(row, 1, 'not-an-ip')})],
	['a host at port 99,999', envelope({type: 'join', host: withItem(row, 7, 99_999)})],
	['a host of capacity 0', envelope({type: 'join', host: withItem(row, 8, 0)})],
	['hosts that are no list', envelope({type: 'hosts', hosts: 3})],
	['one host of several at a port that is no integer', envelope({type: 'hosts', hosts: [row, withItem(row, 7, 1.5)]})],
	['a member at port 99,999', envelope(gossip(withItem(memberRow, 0, withItem(withItem(row, 0, 'p'), 7, 99_999))))],
	['a member whose incarnation is no number', envelope(gossip(withItem(memberRow, 1, Number.NaN)))],
	['a member whose incarnation can\'t be raised', envelope(gossip(withItem(memberRow, 1, Number.MAX_SAFE_INTEGER)))],
	['a member of an unknown status', envelope(gossip(withItem(memberRow, 2, 'gone')))],
	['a member that is suspected by no list', envelope(gossip(withItem(memberRow, 5, null)))],
	['a state of members without groups', envelope({type: 'member', message: {type: 'state', sequence: 1, updates: []}})],
	['a ping without a target', envelope({
		type: 'member', message: {
			type: 'ping', sequence: 1, introduce: true, updates: [],
		},
	})],
	['a report whose rows are no list', envelope({type: 'load', service: 's', rows: {}})],
	['a report of an endless age', envelope({type: 'load', service: 's', rows: [['i', 1, Number.POSITIVE_INFINITY, null]]})],
	['a report of a negative load', envelope({type: 'load', service: 's', rows: [['i', -1, null, null]]})],
	['a leaving run without an id', envelope({type: 'leaving', run: {address: '10.0.0.1', port: 80, bornAtMs: 1}})],
	['a state of the store that has failed for no number', envelope({type: 'store', isReachable: false, failingForMs: Number.NaN})],
	['a comparison without a digest', envelope(spread({type: 'compare'}))],
	['news without entries', envelope(spread({type: 'news', instancesAsOf: 1, configVersion: 1}))],
	['news that cover no range', envelope(spread({
		type: 'news', entries: [], instancesAsOf: 1, configVersion: 1, coverage: {sinceAsOf: -1, asOf: 1},
	}))],
	['a comparison that is complete up to no number', envelope(spread({type: 'compare', digest: {configVersion: 1, instances: 4, instancesAsOf: 2}, completeAsOf: Number.NaN}))],
	['a state from which instances may be missing for an endless time', envelope(spread({
		type: 'state', instancesAsOf: 2, entries: [], completeAsOf: 2, lapsesForMs: Number.POSITIVE_INFINITY,
	}))],
	['an instance without a revision', envelope(news({instanceId: 'i', record}))],
	['an instance at port 70,000', envelope(news({instanceId: 'i', revision: 1, record: {...record, port: 70_000}}))],
	['an instance of no slots', envelope(news({instanceId: 'i', revision: 1, record: {...record, slots: 0}}))],
	['a packed configuration that can\'t be unpacked', envelope(spread({type: 'state', instancesAsOf: -1, packedConfig: Buffer.from([1, 2, 3])}))],
	['a configuration without limits', envelope(packedState({version: 1, routes: [route], services: []}))],
	['a configuration with a limit that is no number', envelope(packedState({
		version: 1, routes: [route], services: [], limits: {...limits, idleTimeoutMs: Number.POSITIVE_INFINITY},
	}))],
	['a configuration with a route to no service', envelope(packedState({
		version: 1, routes: [{...route, services: []}], services: [], limits,
	}))],
];

const closedStore: StoreClient = {
	readAll: async () => Err('turned-away'),
	watch: async () => Err('turned-away'),
	close: () => undefined,
};

describe('hostile bytes at the peer port', () => {
	for (const [title, bytes] of malformed) {
		it(`are refused whole: ${title}`, () => {
			expect(decodeMessage(bytes).isErr()).to.equal(true);
		});
	}

	// Guards against a message that puts a host at which no port can be opened into the membership, whose next message throws in a timer.
	it('neither end a gateway nor make a host known, and a proper message after them does', async () => {
		const lines: string[] = [];
		const logger = createLogger('test', 'g', 3, line => {
			lines.push(line);
		});
		const gateway = await startGateway(createTestSettings('g', address, port), {store: closedStore, headerNames: defaultHeaderNames, logger});
		const socket = dgram.createSocket('udp4');
		const stream = net.connect({host: address, port: port + 2});
		stream.on('error', () => undefined);
		await once(stream, 'connect');
		stream.write(encodeFrame(malformed[9]![1]));
		for (const [, bytes] of malformed) {
			socket.send(bytes, port + 2, address);
		}

		socket.send(envelope(gossip(memberRow)), port + 2, address);
		await delay(settlingMs);
		const answer = await fetch(`http://${address}:${port + 3}/v1/status`);
		const {members} = await answer.json() as {readonly members: ReadonlyArray<{readonly host: EntryHost}>};
		const metricsAnswer = await fetch(`http://${address}:${port + 3}/metrics`);
		const metrics = await metricsAnswer.text();
		socket.close();
		stream.destroy();
		await gateway.shutdown();
		expect(members.map(({host: {hostId}}) => hostId).toSorted()).to.deep.equal(['g', 'h']);
		expect(metrics).not.to.match(/^egretwing_unexpected_errors_total\{/mv);
		expect(lines.some(line => line.includes('peer message could not be decoded'))).to.equal(true);
	});
});

const oddValues: readonly unknown[] = [
	null, undefined, true, 0, -1, 1.5, 99_999, 1e300, Number.NaN, Number.POSITIVE_INFINITY, Number.MAX_SAFE_INTEGER, '', 'x', 'not-an-ip', '10.0.0.9', [], {}, [null], Buffer.from([0]), 2n ** 63n, 'self', 'h', 5,
];

const pick = <Item>(items: readonly Item[], random: Random): Item => items[Math.floor(random.next() * items.length)]!;

/** Copies a value with something else at a random place in it. */
const mutate = (value: unknown, random: Random): unknown => {
	const isInner = typeof value === 'object' && value !== null && !(value instanceof Uint8Array);
	if (!isInner || random.next() < 0.1) {
		return pick(oddValues, random);
	}

	if (Array.isArray(value)) {
		const index = Math.floor(random.next() * value.length);
		return random.next() < 0.1 ? value.slice(0, index) : withItem(value as readonly unknown[], index, mutate((value as readonly unknown[])[index], random));
	}

	const name = pick(Object.keys(value), random);
	return {...value, [name]: mutate((value as Readonly<Record<string, unknown>>)[name], random)};
};

const mutateBytes = (bytes: Buffer, random: Random): Buffer => {
	const copy = Buffer.from(bytes);
	for (let count = 1 + Math.floor(random.next() * 4); count > 0; count--) {
		copy[Math.floor(random.next() * copy.length)] = Math.floor(random.next() * 256);
	}

	return copy.subarray(0, random.next() < 0.2 ? Math.floor(random.next() * copy.length) : undefined);
};

const wireMessages: readonly unknown[] = [
	gossip(memberRow),
	gossip(withItem(withItem(memberRow, 2, 'suspect'), 5, ['g-3'])),
	{
		type: 'member', message: {
			type: 'ping', sequence: 1, target: 'self', introduce: true, updates: [memberRow],
		},
	},
	{
		type: 'member', message: {
			type: 'ack', sequence: 1, target: 'h', updates: [memberRow],
		},
	},
	{type: 'member', message: {type: 'not-me', target: 'h', updates: []}},
	{
		type: 'member', message: {
			type: 'ping-request', sequence: 1, target: 'h', updates: [],
		},
	},
	{type: 'member', message: {type: 'nack', sequence: 1, updates: []}},
	{type: 'member', message: {type: 'state-digest', sequence: 1, groups: [1, 2]}},
	{
		type: 'member', message: {
			type: 'state', sequence: 1, updates: [memberRow], wanted: [1],
		},
	},
	news({instanceId: 'i', revision: 3, record}),
	// The store may hold a removed key that is nothing but the prefix of instances.
	news({instanceId: '', revision: 3, record: null}),
	news({
		instanceId: 'i', revision: 4, record: null, isLapsed: true, usableForMs: 10,
	}),
	spread({type: 'compare', digest: {configVersion: 1, instances: 4, instancesAsOf: 2}, isReply: false}),
	spread({type: 'compare', digest: {configVersion: 1, instances: 4, instancesAsOf: 2}, completeAsOf: 2}),
	spread({
		type: 'news', entries: [{instanceId: 'i', revision: 3, record}], instancesAsOf: 4, configVersion: 1, coverage: {sinceAsOf: 2, asOf: 4},
	}),
	spread({
		type: 'pull', configVersion: 0, wantsInstances: false, afterRevision: 1, completeAsOf: 2, takesPacked: true,
	}),
	spread({
		type: 'state', instancesAsOf: 4, entries: [{instanceId: 'i', revision: 3, record}], completeAsOf: 3, lapsesForMs: 100,
	}),
	spread({
		type: 'pull', configVersion: 0, wantsInstances: true, afterRevision: 1, takesPacked: true,
	}),
	spread({
		type: 'state', instancesAsOf: 2, config: {
			version: 2, routes: [route], services: [], limits,
		}, entries: [{instanceId: 'i', revision: 5, record}],
	}),
	{type: 'load', service: 's', rows: [['i', 1, 4, null], ['i', 0, null, 5]]},
	{
		type: 'quota', report: {
			upMs: 5000, memoryMs: 5000, rows: [['w', 4, 1, true, 2, 3000]], strayIds: ['g-3'],
		},
	},
	{type: 'join', host: row},
	{type: 'hosts', hosts: [row]},
	{
		type: 'store', isReachable: true, failingForMs: 1, readingForMs: 4,
	},
	{
		type: 'leaving', run: {
			instanceId: 'i', address: '10.0.0.1', port: 80, bornAtMs: 1,
		},
	},
];

/** The state of a gateway that messages of peers reach, without its sockets. */
const createReceiver = (seed: number) => {
	const clock = createManualClock(1000);
	const random = createRandom(seed);
	const catalogue = createCatalogue();
	const membership = createMembership({
		self: host({hostId: 'self', address}), incarnation: 1, random, nowMs: clock.nowMs(),
	});
	const peerIds = (): readonly string[] => membership.members().map(({host: {hostId}}) => hostId).filter(id => id !== 'self');
	const catalogueSync = createCatalogueSync({
		selfId: 'self', catalogue, random, peerIds, localPeerIds: peerIds, dataCentreOf: () => 'a', isReceivingFrom: () => false, onChange: () => undefined,
	});
	const dispatchers = createDispatchers({
		dataCentre: 'a',
		catalogue,
		random,
		nowMs: clock.nowMs,
		logger: createLogger('test', 'h', 0, () => undefined),
		errors: openBarrier,
		isUnplaced: () => false,
		sendReport: () => undefined,
		onState: () => undefined,
	});
	const quotas = createQuotaGate({limits: {windowMs: 5000, overageShare: 0.25, slack: 20}, random, startedAtMs: clock.nowMs()});
	quotas.setQuotas(new Map([['w', {ratePerSecond: 1, burst: 1}]]));
	const sent: MeshMessage[] = [];
	const endpoints: Array<Pick<EntryHost, 'address' | 'peerPort'>> = [];
	const sendMember = (sends: ReturnType<typeof membership.tick>): void => {
		for (const {to, message} of sends) {
			endpoints.push(to);
			sent.push({type: 'member', message});
		}
	};

	const sendCatalogue = (sends: ReturnType<typeof catalogueSync.tick>): void => {
		sent.push(...sends.map(({message}): MeshMessage => ({type: 'spread', message})));
	};

	return {
		receive({from, message}: DecodedMessage): void {
			switch (message.type) {
				case 'member': {
					sendMember(membership.receive(from, message.message, clock.nowMs()));
					return;
				}

				case 'spread': {
					sendCatalogue(catalogueSync.receive(from.hostId, message.message, clock.nowMs()));
					return;
				}

				case 'load': {
					dispatchers.receiveReport(message.service, from.hostId, fromReportRows(message.rows));
					return;
				}

				case 'join': {
					membership.setHostList([message.host]);
					return;
				}

				case 'hosts': {
					membership.setHostList(message.hosts);
					return;
				}

				case 'leaving': {
					catalogue.markLeaving(message.run, clock.nowMs());
					return;
				}

				case 'quota': {
					quotas.receive(from.hostId, message.report, clock.nowMs());
					return;
				}

				case 'store': {
					expect(message.isReachable).to.be.a('boolean');
				}
			}
		},
		tick(): void {
			clock.advanceMs(100);
			sendMember(membership.tick(clock.nowMs()));
			sendCatalogue(catalogueSync.tick(clock.nowMs()));
			catalogue.tick(clock.nowMs());
			catalogue.ready('s');
			dispatchers.tick();
			quotas.admit('w', clock.nowMs());
			quotas.takeReport(700, clock.nowMs());
		},
		endpoints: () => endpoints.splice(0),
		sent: () => sent.splice(0),
	};
};

describe('mutated messages of peers', () => {
	const rounds = 1500;
	for (const seed of [1, 2, 3, 4]) {
		// Guards against a form of message that passes the checks and fails later, here or at the gateways to which it is passed on.
		it(`throw nowhere, and nothing of them is sent that peers would refuse, seed ${seed}`, () => {
			const random = createRandom(seed);
			const receiver = createReceiver(seed);
			let accepted = 0;
			for (let round = 0; round < rounds; round++) {
				const whole = ['h', peerAddress, 7000, pick(wireMessages, random)];
				const isWhole = random.next() < 0.1;
				const bytes = random.next() < 0.7 ? encodeValue(isWhole ? whole : mutate(whole, random)) : mutateBytes(encodeValue(whole), random);
				const decoded = decodeMessage(bytes);
				if (decoded.isOk()) {
					accepted++;
					receiver.receive(decoded.value);
				}

				receiver.tick();
				for (const {address: toAddress, peerPort} of receiver.endpoints()) {
					expect([net.isIPv4(toAddress), peerPort >= 1 && peerPort <= 65_535]).to.deep.equal([true, true]);
				}

				for (const message of receiver.sent()) {
					expect(decodeMessage(encodeMessage({hostId: 'self', address, peerPort: 7000}, message)).isOk(), JSON.stringify(message)).to.equal(true);
				}
			}

			expect(accepted).to.be.within(rounds / 20, rounds * 0.9);
		});
	}

	it('of which none is changed are all accepted', () => {
		for (const message of wireMessages) {
			expect(decodeMessage(envelope(message)).isOk(), JSON.stringify(message)).to.equal(true);
		}

		const update: MemberUpdate = {
			host: host(), incarnation: 1, status: 'alive', entryState: 'up', entryIncarnation: 1, suspectedBy: [],
		};
		const config = createLargeConfig(1);
		for (const message of [
			{type: 'member', message: {type: 'gossip', updates: [update]}},
			{type: 'spread', message: {type: 'state', instancesAsOf: -1, config}},
		] as const) {
			expect(decodeMessage(encodeMessage({hostId: 'g', address, peerPort: 7000}, message)).isOk()).to.equal(true);
		}
	});
});
