import {type Buffer} from 'node:buffer';
import {expect} from 'chai';
import {
	createPrefixRouteTable, createQuotaGate, createRandom, createReportScheduler, toReportRows, type InstanceEntry,
} from '@egretwing/core';
import {
	createFrameReader, decodeValue, encodeValue, encodeFrame,
} from '@egretwing/node';
import {maxQuotaRowsBytes, maxReportRowsBytes} from '../src/constants.ts';
import {decodeMessage, encodeMessage, type MeshMessage} from '../src/mesh-message.ts';
import {maxDatagramBytes} from '../src/mesh.ts';
import {createInstances} from './support/instances.ts';
import {createLargeConfig} from './support/large-config.ts';

const sender = {hostId: 'g-1', address: '10.0.0.1', peerPort: 7000};
const chunkBytes = 1448;

/** Number of routes for which the fleet is designed. */
const designRouteCount = 110_000;

const entries: readonly InstanceEntry[] = [
	{
		instanceId: 'i-1', revision: 4, record: {
			service: 's', address: '10.0.0.1', port: 80, dataCentre: 'a', slots: 1, state: 'ready', warmupLeftMs: 0, bornAtMs: 1_800_000_000_000,
		},
	},
	{
		instanceId: 'i-2', revision: 5, record: null, isLapsed: true, usableForMs: 1200,
	},
];

/** Encodes `message` as a frame, splits it into packets and decodes it. */
const carry = (message: MeshMessage): MeshMessage => {
	const frame = encodeFrame(encodeMessage(sender, message));
	const reader = createFrameReader();
	const payloads: Buffer[] = [];
	for (let offset = 0; offset < frame.length; offset += chunkBytes) {
		payloads.push(...reader.push(frame.subarray(offset, offset + chunkBytes)).unwrap());
	}

	expect(payloads).to.have.length(1);
	const {from, message: carried} = decodeMessage(payloads[0]!).unwrap();
	expect(from).to.deep.equal(sender);
	return carried;
};

describe('message of a gateway', () => {
	it('carries that an instance leaves', () => {
		const message: MeshMessage = {
			type: 'leaving', run: {
				instanceId: 'i-1', bornAtMs: 1_800_000_000_000, address: '10.0.0.1', port: 80,
			},
		};
		expect(carry(message)).to.deep.equal(message);
		expect(encodeMessage(sender, message).length).to.be.below(maxDatagramBytes);
	});

	it('carries a full report on quotas in one datagram, since an earlier version would close a stream at a message that it does not know', () => {
		const gate = createQuotaGate({limits: {windowMs: 5000, overageShare: 0.25, slack: 20}, random: createRandom(1), startedAtMs: 0});
		const names = Array.from({length: 100}, (_, index) => `orquesta-filarmonía-${1000 + index}`);
		gate.setQuotas(new Map(names.map(name => [name, {ratePerSecond: 1000, burst: 100_000}])));
		const peers = Array.from({length: 10}, (_, index) => `front-ga-north-a-${100 + index}`);
		for (const peer of peers) {
			gate.receive(peer, {
				upMs: 4999, memoryMs: 4999, rows: names.map(name => [name, 70_000, 70_000, true, 70_000, 4999]), strayIds: [],
			}, 4000);
		}

		const {report} = gate.takeReport(maxQuotaRowsBytes, 4100)!;
		expect(report.strayIds).to.have.length(8);
		expect(report.rows.length).to.be.above(10);
		const message: MeshMessage = {type: 'quota', report};
		expect(carry(message)).to.deep.equal(message);
		expect(encodeMessage({hostId: 'front-ga-north-a-100', address: '127.20.1.100', peerPort: 17_000}, message).length).to.be.at.most(maxDatagramBytes);
	});

	it('of a kind that is not known is passed over as malformed', () => {
		const bytes = encodeValue([sender.hostId, sender.address, sender.peerPort, {type: 'later', report: {}}]);
		expect(decodeMessage(bytes).unwrapErr()).to.equal('malformed');
	});

	const wrongReports: ReadonlyArray<readonly [title: string, report: unknown]> = [
		['no rows', {upMs: 1, memoryMs: 1, strayIds: []}],
		['a negative count', {
			upMs: 1, memoryMs: 1, rows: [['w', -1, 0, true, 0, 0]], strayIds: [],
		}],
		['a count that is no number', {
			upMs: 1, memoryMs: 1, rows: [['w', Number.NaN, 0, true, 0, 0]], strayIds: [],
		}],
		['a short row', {
			upMs: 1, memoryMs: 1, rows: [['w', 1, 0]], strayIds: [],
		}],
		['a time that is too long', {
			upMs: 1, memoryMs: 1, rows: [['w', 1, 0, true, 0, 1e300]], strayIds: [],
		}],
		['names that are no text', {
			upMs: 1, memoryMs: 1, rows: [], strayIds: [1],
		}],
	];
	for (const [title, report] of wrongReports) {
		it(`is refused when its report on quotas has ${title}`, () => {
			const bytes = encodeValue([sender.hostId, sender.address, sender.peerPort, {type: 'quota', report}]);
			expect(decodeMessage(bytes).unwrapErr()).to.equal('malformed');
		});
	}

	const config = createLargeConfig(3);
	const messages: ReadonlyArray<readonly [title: string, message: Extract<MeshMessage, {type: 'spread'}>['message']]> = [
		['a configuration of 1,440 routes', {type: 'state', instancesAsOf: -1, config}],
		['a configuration and instances', {
			type: 'state', instancesAsOf: 5, config, entries,
		}],
		['instances alone', {type: 'state', instancesAsOf: 5, entries}],
		['packed instances', {
			type: 'state', instancesAsOf: 5, entries, isPacked: true,
		}],
		['a configuration and packed instances', {
			type: 'state', instancesAsOf: 5, config, entries, isPacked: true,
		}],
		['news', {
			type: 'news', instancesAsOf: 5, entries, configVersion: 3,
		}],
		['news without a gap', {
			type: 'news', instancesAsOf: 5, entries, configVersion: 3, coverage: {sinceAsOf: 2, asOf: 4},
		}],
		['all instances of a gateway that has just started', {
			type: 'state', instancesAsOf: 5, entries, completeAsOf: 4, lapsesForMs: 1200, isPacked: true,
		}],
	];
	for (const [title, message] of messages) {
		it(`carries ${title} without loss, also when it is forwarded`, () => {
			const once = carry({type: 'spread', message});
			expect(once).to.deep.equal({type: 'spread', message});
			expect(carry(once)).to.deep.equal(once);
		});
	}

	it('of the previous version carries its configuration unpacked', () => {
		const message = {type: 'state', instancesAsOf: -1, config};
		const bytes = encodeValue([sender.hostId, sender.address, sender.peerPort, {type: 'spread', message}]);
		expect(decodeMessage(bytes).unwrap().message).to.deep.equal({type: 'spread', message});
	});

	it('holds a packed configuration in a field of its own, so that the previous version does not read it as a plain one', () => {
		const bytes = encodeMessage(sender, {type: 'spread', message: {type: 'state', instancesAsOf: -1, config}});
		const {message} = (decodeValue(bytes).unwrap() as [string, string, number, {readonly message: object}])[3];
		expect(message).to.include.keys('packedConfig').and.not.include.keys('config');
	});

	for (const routeCount of [1440, designRouteCount]) {
		it(`preserves each of ${routeCount} routes for lookups, also when it is forwarded`, () => {
			const sent = createLargeConfig(3, routeCount);
			const carried = carry(carry({type: 'spread', message: {type: 'state', instancesAsOf: -1, config: sent}}));
			const routes = carried.type === 'spread' && carried.message.type === 'state' ? carried.message.config!.routes : [];
			const table = createPrefixRouteTable(routes);
			expect(sent.routes.filter(({hostName, pathPrefix, name}) => table.match(hostName, `${pathPrefix}x/y`)?.name !== name)).to.deep.equal([]);
		});
	}

	const wireStates: ReadonlyArray<{readonly title: string; readonly isPacked?: true; readonly held: string; readonly absent: string}> = [
		{title: 'holds plain instances for a gateway of the previous version', held: 'entries', absent: 'packedEntries'},
		{
			title: 'holds packed instances for a gateway that supports them', isPacked: true, held: 'packedEntries', absent: 'entries',
		},
	];
	for (const {title, isPacked, held, absent} of wireStates) {
		it(title, () => {
			const bytes = encodeMessage(sender, {
				type: 'spread', message: {
					type: 'state', instancesAsOf: 5, entries, ...(isPacked && {isPacked}),
				},
			});
			const {message} = (decodeValue(bytes).unwrap() as [string, string, number, {readonly message: object}])[3];
			expect(message).to.include.keys(held).and.not.include.keys(absent);
		});
	}

	for (const prefix of ['i-', 'seatledger-', 'seatledger-ga-north-a-']) {
		it(`holds a full report on instances named like ${prefix}1000 in one datagram`, () => {
			const instances = Array.from({length: 100}, (_, index) => ({
				instanceId: `${prefix}${1000 + index}`, inFlight: 200, goodAgeMs: 2900, avoidMs: 4999,
			}));
			const rows = toReportRows({instances: createReportScheduler().takeRows({instances}, maxReportRowsBytes, 500, 0)});
			expect(rows.length).to.be.above(25);
			expect(encodeMessage({hostId: 'front-ga-north-a-100', address: '127.20.1.100', peerPort: 17_000}, {type: 'load', service: 'seatledger', rows}).length).to.be.at.most(maxDatagramBytes);
		});
	}

	it('packs the instances of a large fleet into less than a quarter of their plain size', () => {
		const state = {type: 'state', instancesAsOf: 380, entries: createInstances(380)} as const;
		const [plain, packed] = [state, {...state, isPacked: true}].map(message => encodeMessage(sender, {type: 'spread', message}).length);
		expect(packed).to.be.below(plain! / 4);
	});
});
