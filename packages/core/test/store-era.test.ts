import {expect} from 'chai';
import {
	createCatalogue, eraOf, maxEra, reconcileFullRead, revisionOf, revisionsPerEra, toStoreOrder,
	type CatalogueSend, type InstanceEntry, type InstanceRecord,
} from '@egretwing/core';
import {agree, config, createFleet} from './support/catalogue-fleet.ts';

const record = (changes: Partial<InstanceRecord> = {}): InstanceRecord => ({
	service: 's', address: '10.0.0.1', port: 80, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 100, ...changes,
});

/** An entry written at a revision of an era; null for a removal. */
const at = (era: number, revision: number, changes: Partial<InstanceRecord> | null = {}, instanceId = 'i-1'): InstanceEntry => ({
	instanceId, revision: toStoreOrder(era, revision), record: changes === null ? null : record(changes),
});

const lapsed = (entry: InstanceEntry): InstanceEntry => ({...entry, isLapsed: true});

describe('order of the states of the store', () => {
	const cases: ReadonlyArray<readonly [title: string, era: number, revision: number, order: number]> = [
		['is the revision in a store that names no era', 0, 57, 57],
		['is above all revisions of the era before', 1, 0, revisionsPerEra],
		['is exact at the highest era and revision', maxEra, revisionsPerEra - 1, Number.MAX_SAFE_INTEGER],
	];
	for (const [title, era, revision, order] of cases) {
		it(title, () => {
			expect(toStoreOrder(era, revision)).to.equal(order);
			expect([eraOf(order), revisionOf(order)]).to.deep.equal([era, revision]);
		});
	}

	it('has no era and no revision while nothing is known', () => {
		expect([eraOf(-1), revisionOf(-1)]).to.deep.equal([-1, -1]);
	});
});

describe('catalogue of a store that came back from an older copy', () => {
	const cases: ReadonlyArray<{
		readonly title: string; readonly entries: readonly InstanceEntry[]; readonly ready: readonly number[]; readonly tickMs?: number;
	}> = [
		{title: 'takes a lower revision of the later era', entries: [at(1, 90), at(2, 40, {port: 81})], ready: [81]},
		{title: 'takes the same revision of the later era, which was given out again', entries: [at(1, 90), at(2, 90, {port: 81})], ready: [81]},
		{title: 'does not go back to the earlier era, whatever the revision', entries: [at(2, 40, {port: 81}), at(1, 90)], ready: [81]},
		{title: 'does not use an instance that was draining when the copy says ready', entries: [at(1, 50), at(1, 90, {state: 'draining'}), at(2, 50)], ready: []},
		{
			title: 'does not use it when its registration is missing from the copy and is written again as ready first',
			entries: [at(1, 90, {state: 'draining'}), lapsed(at(2, 60, null)), at(2, 61)],
			ready: [],
		},
		{title: 'uses a new run of a draining instance', entries: [at(1, 90, {state: 'draining'}), at(2, 50, {bornAtMs: 200, port: 81})], ready: [81]},
		{title: 'does not use an instance that was removed when the copy says ready', entries: [at(1, 50), at(1, 90, null), at(2, 50)], ready: []},
		{title: 'does not use it when an earlier run is in the copy', entries: [at(1, 50), at(1, 90, null), at(2, 40, {bornAtMs: 50, port: 81})], ready: []},
		{title: 'does not use it when the copy loses its registration for good', entries: [at(1, 50), at(1, 90, null), at(2, 50), lapsed(at(2, 70, null))], ready: []},
		{title: 'uses it once it is written again', entries: [at(1, 50), at(1, 90, null), at(2, 50), at(2, 70)], ready: [80]},
		{title: 'uses it at once when its revision is too high for the copy', entries: [at(1, 50), at(1, 90, null), at(2, 95)], ready: [80]},
		{title: 'does not use it when the store comes back twice', entries: [at(1, 50), at(1, 90, null), at(2, 50), at(3, 50)], ready: []},
		{title: 'uses a new run of a removed instance', entries: [at(1, 50), at(1, 90, null), at(2, 60, {bornAtMs: 200, port: 81})], ready: [81]},
		{
			title: 'uses a removed instance that is still registered after three long heartbeats', entries: [at(1, 50), at(1, 90, null), at(2, 50)], tickMs: 30_000, ready: [80],
		},
		{
			title: 'does not use it before that', entries: [at(1, 50), at(1, 90, null), at(2, 50)], tickMs: 29_999, ready: [],
		},
		{title: 'keeps a later run than that of the copy at first', entries: [at(1, 90, {bornAtMs: 200, port: 81}), at(2, 50)], ready: [81]},
		{
			title: 'keeps it while it may be written again and read', entries: [at(1, 90, {bornAtMs: 200, port: 81}), at(2, 50)], tickMs: 2499, ready: [81],
		},
		{
			title: 'drops it when it is not written again by then', entries: [at(1, 90, {bornAtMs: 200, port: 81}), at(2, 50)], tickMs: 2500, ready: [],
		},
		{
			title: 'keeps it when it is written again',
			entries: [at(1, 90, {bornAtMs: 200, port: 81}), at(2, 50), at(2, 60, {bornAtMs: 200, port: 81})],
			tickMs: 2500,
			ready: [81],
		},
		{title: 'keeps an instance that is missing from the copy at first', entries: [at(1, 90), lapsed(at(2, 60, null))], ready: [80]},
		{
			title: 'keeps such an instance while it may be written again and read', entries: [at(1, 90), lapsed(at(2, 60, null))], tickMs: 2499, ready: [80],
		},
		{
			title: 'drops such an instance when it is not written again by then', entries: [at(1, 90), lapsed(at(2, 60, null))], tickMs: 2500, ready: [],
		},
		{
			title: 'drops such an instance at the time that the reader gave', entries: [at(1, 90), {...lapsed(at(2, 60, null)), usableForMs: 1200}], tickMs: 1200, ready: [],
		},
		{
			title: 'keeps it when it is written again at a revision that was given out before', entries: [at(1, 90), lapsed(at(2, 60, null)), at(2, 90)], tickMs: 2500, ready: [80],
		},
	];
	for (const {title, entries, ready, tickMs} of cases) {
		it(title, () => {
			const catalogue = createCatalogue();
			for (const each of entries) {
				catalogue.mergeInstances([each], -1, 0);
			}

			catalogue.tick(tickMs ?? 0);
			expect(catalogue.ready('s').map(({port}) => port)).to.deep.equal(ready);
		});
	}

	it('ignores a registration that the store has lost once all instances of the later era are known, and keeps a removal', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([at(2, 40)], toStoreOrder(2, 50), 0);
		expect(catalogue.mergeInstances([at(1, 90, {}, 'i-2'), at(1, 91, null, 'i-3')], toStoreOrder(1, 91), 0).map(({instanceId}) => instanceId)).to.deep.equal(['i-3']);
		expect(catalogue.digest().instancesAsOf).to.equal(toStoreOrder(2, 50));
	});

	it('never reverts to the older configuration of the copy', () => {
		const catalogue = createCatalogue();
		expect([7, 5, 7, 9].map(version => catalogue.mergeConfig(config(version)))).to.deep.equal([true, false, false, true]);
	});

	it('treats all that a full read of the later era lacks as lapsed, whatever its revision, with one deadline', () => {
		const known = [at(1, 90, {}, 'lost'), at(1, 40, {}, 'kept'), at(2, 70, {}, 'written again'), at(1, 30, null, 'removed')];
		const merged = reconcileFullRead([at(2, 40, {}, 'kept')], toStoreOrder(2, 60), known, {usableForMs: 1700});
		expect(merged.slice(1)).to.deep.equal([{
			instanceId: 'lost', revision: toStoreOrder(2, 60), record: null, isLapsed: true, usableForMs: 1700,
		}]);
	});
});

describe('synchronisation after the store came back from an older copy', () => {
	const ids = Array.from({length: 30}, (_, index) => `i-${index}`);
	const before = ids.map((id, index) => at(1, index + 1, {address: `10.0.0.${index + 1}`}, id));
	const asOfBefore = toStoreOrder(1, 100);
	/** The copy lacks the last instance; the others have their revisions again. */
	const copy = before.slice(0, -1).map(({revision, ...others}): InstanceEntry => ({...others, revision: toStoreOrder(2, revisionOf(revision))}));
	const asOfCopy = toStoreOrder(2, 60);
	const readCopy = (known: readonly InstanceEntry[]) => ({entries: reconcileFullRead(copy, asOfCopy, known, {usableForMs: 2000}), instancesAsOf: asOfCopy});
	const startFleet = (size: number, isLost?: (from: string, send: CatalogueSend) => boolean) => {
		const fleet = createFleet(size, isLost);
		for (const id of ['g-0', 'g-1']) {
			fleet.read(id, {config: config(5), entries: before, instancesAsOf: asOfBefore});
		}

		fleet.runUntil(2000);
		return fleet;
	};

	for (const size of [2, 44, 126]) {
		it(`brings the later era to ${size} gateways within 1.5 s, as one state for each, and no instance is out of use before two seconds`, () => {
			const fleet = startFleet(size);
			fleet.sent.length = 0;
			fleet.read('g-0', readCopy(before));
			const readyCounts = new Set<number>();
			for (let nowMs = 2000; nowMs < 3500; nowMs += 10) {
				fleet.runUntil(nowMs);
				for (const {catalogue} of fleet.nodes.values()) {
					catalogue.tick(nowMs);
					readyCounts.add(catalogue.ready('s').length);
				}
			}

			expect([...fleet.nodes.values()].filter(({catalogue}) => catalogue.digest().instancesAsOf !== asOfCopy)).to.deep.equal([]);
			expect([...readyCounts]).to.deep.equal([ids.length]);
			expect(fleet.sent.filter(({type}) => type === 'state')).to.have.length(size - 1);
			fleet.runUntil(6000);
			expect(agree(fleet.nodes)).to.equal(1);
		});
	}

	it('does not take one change of the later era for knowledge of all', () => {
		const fleet = startFleet(2);
		const {sync, catalogue} = fleet.nodes.get('g-1')!;
		const sends = sync.receive('g-0', {
			type: 'news', entries: [at(2, 70, {}, 'i-3')], instancesAsOf: toStoreOrder(2, 70), configVersion: 5,
		}, 2000);
		expect(catalogue.digest().instancesAsOf).to.equal(asOfBefore);
		expect(sends.flatMap(({message}) => message.type === 'pull' ? message.wantsInstances : [])).to.deep.equal([true]);
	});

	for (const size of [6, 44]) {
		it(`converges with ${size} gateways when half of them hears of the later era only after a cut, in which it knew instances of its own`, () => {
			let isCut = false;
			const isBehind = (id: string): boolean => Number(id.slice(2)) >= size / 2;
			const fleet = startFleet(size, (from, {to}) => isCut && isBehind(from) !== isBehind(to));
			isCut = true;
			fleet.read(`g-${size - 1}`, {entries: [at(1, 120, {address: '10.0.1.1'}, 'ghost')], instancesAsOf: toStoreOrder(1, 120)});
			fleet.read('g-0', readCopy(before));
			fleet.runUntil(3900);
			expect([...fleet.nodes.values()].filter(({id, catalogue}) => eraOf(catalogue.digest().instancesAsOf) !== (isBehind(id) ? 1 : 2))).to.deep.equal([]);
			expect([...fleet.nodes.values()].filter(({catalogue}) => catalogue.ready('s').length < ids.length)).to.deep.equal([]);
			isCut = false;
			fleet.runUntil(8000);
			expect(agree(fleet.nodes)).to.equal(1);
			for (const {catalogue} of fleet.nodes.values()) {
				catalogue.tick(10_000);
			}

			expect([...fleet.nodes.values()].filter(({catalogue}) => catalogue.ready('s').length !== copy.length)).to.deep.equal([]);
		});
	}

	it('keeps to the order of the later era when a reader that sees the earlier one reads on', () => {
		const fleet = startFleet(6);
		fleet.read('g-0', readCopy(before));
		fleet.runUntil(4000);
		fleet.read('g-1', {entries: [at(1, 130, {state: 'draining'}, 'i-2'), at(1, 131, {}, 'i-new')], instancesAsOf: toStoreOrder(1, 131)});
		fleet.runUntil(6000);
		expect(agree(fleet.nodes)).to.equal(1);
		expect(fleet.nodes.get('g-1')!.catalogue.digest().instancesAsOf).to.equal(asOfCopy);
		expect(fleet.nodes.get('g-1')!.catalogue.ready('s').map(({instanceId}) => instanceId)).to.include('i-2').and.not.include('i-new');
	});

	it('sends only fields that gateways of the previous build know, with numbers that they order rightly', () => {
		const fleet = startFleet(6);
		fleet.sent.length = 0;
		fleet.read('g-0', readCopy(before));
		fleet.runUntil(4000);
		const fields = {
			news: ['type', 'entries', 'instancesAsOf', 'configVersion'],
			compare: ['type', 'digest', 'isReply'],
			pull: ['type', 'configVersion', 'wantsInstances', 'afterRevision', 'takesPacked'],
			state: ['type', 'isPacked', 'config', 'entries', 'instancesAsOf'],
		};
		expect(fleet.sent.flatMap(message => Object.keys(message).filter(field => !fields[message.type].includes(field)))).to.deep.equal([]);
		const revisions = fleet.sent.flatMap(message => message.type === 'state' ? message.entries ?? [] : []).map(({revision}) => revision);
		expect(revisions.filter(revision => !Number.isSafeInteger(revision) || revision < revisionsPerEra)).to.deep.equal([]);
	});

	it('answers a gateway of the previous build that pulls all instances, and takes what it sends', () => {
		const fleet = startFleet(2);
		const {sync, catalogue} = fleet.nodes.get('g-0')!;
		fleet.read('g-0', readCopy(before));
		const [answer] = sync.receive('g-1', {type: 'pull', configVersion: 0, wantsInstances: true}, 2100);
		expect(answer!.message).to.include({type: 'state', instancesAsOf: asOfCopy});
		sync.receive('g-1', {
			type: 'news', entries: [at(0, 140, {state: 'draining'}, 'i-3')], instancesAsOf: 140, configVersion: 5,
		}, 2200);
		expect(catalogue.digest().instancesAsOf).to.equal(asOfCopy);
		expect(catalogue.ready('s')).to.have.length(ids.length);
	});
});
