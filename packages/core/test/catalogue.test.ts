import {expect} from 'chai';
import {
	createCatalogue, reconcileFullRead, type FleetConfig, type InstanceEntry, type InstanceRecord,
} from '@egretwing/core';

const record = (changes: Partial<InstanceRecord> = {}): InstanceRecord => ({
	service: 'settle', address: '10.0.0.1', port: 80, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 100, ...changes,
});

const entry = (revision: number, changes: Partial<InstanceRecord> | null = {}, instanceId = 'i-1'): InstanceEntry => ({
	instanceId, revision, record: changes === null ? null : record(changes),
});

const config = (version: number): FleetConfig => ({
	version,
	routes: [],
	services: [],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
});

describe('catalogue', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly entries: readonly InstanceEntry[]; readonly ready: readonly number[]}> = [
		{title: 'uses a ready instance', entries: [entry(5)], ready: [80]},
		{title: 'does not use a draining instance', entries: [entry(5), entry(6, {state: 'draining'})], ready: []},
		{title: 'keeps the newer entry in any order of arrival', entries: [entry(6, {state: 'draining'}), entry(5)], ready: []},
		{title: 'drops a removed instance at once', entries: [entry(5), entry(6, null)], ready: []},
		{title: 'does not restore a removed instance from an older entry', entries: [entry(6, null), entry(5)], ready: []},
		{title: 'uses a new run of an instance under the same id', entries: [entry(5), entry(6, null), entry(7, {bornAtMs: 200, port: 81})], ready: [81]},
		{title: 'ignores a delayed write from an earlier run', entries: [entry(5, {bornAtMs: 200, port: 81}), entry(6, {bornAtMs: 100})], ready: [81]},
		{title: 'drops a lapsed instance once a reader without an outage reports it as removed', entries: [entry(5), {...entry(6, null), isLapsed: true}, entry(6, null)], ready: []},
		{title: 'keeps a removal when a reader after an outage reports the instance as lapsed', entries: [entry(5), entry(6, null), {...entry(6, null), isLapsed: true}], ready: []},
		{title: 'keeps a lapsed instance at first', entries: [entry(5), {...entry(6, null), isLapsed: true}], ready: [80]},
	];
	for (const {title, entries, ready} of cases) {
		it(title, () => {
			const catalogue = createCatalogue();
			for (const each of entries) {
				catalogue.mergeInstances([each], each.revision, 0);
			}

			expect(catalogue.ready('settle').map(({port}) => port)).to.deep.equal(ready);
		});
	}

	const run = ({bornAtMs, address, port}: InstanceRecord) => ({
		instanceId: 'i-1', bornAtMs, address, port,
	});
	const leavingCases: ReadonlyArray<{
		readonly title: string; readonly first?: Partial<InstanceRecord>; readonly entries?: readonly InstanceEntry[]; readonly ready: readonly number[];
	}> = [
		{title: 'does not use an instance that announced that it leaves', ready: []},
		{title: 'does not use it when the same run is registered once more', entries: [entry(6)], ready: []},
		{title: 'does not use it when the same run has been removed and is registered again', entries: [entry(6, null), entry(7)], ready: []},
		{title: 'does not use it when its registration has lapsed and is back', entries: [{...entry(6, null), isLapsed: true}, entry(7)], ready: []},
		{title: 'does not use it when an older entry arrives late', entries: [entry(4, {port: 81})], ready: []},
		{title: 'does not use it when a delayed write of an earlier run arrives', entries: [entry(6, {bornAtMs: 50, port: 81})], ready: []},
		{title: 'uses a later run under its id', entries: [entry(6, {bornAtMs: 200})], ready: [80]},
		{title: 'uses a later run under its id after a removal', entries: [entry(6, null), entry(7, {bornAtMs: 200, port: 81})], ready: [81]},
		{title: 'uses another instance at its address', entries: [entry(6, {bornAtMs: 100}, 'i-2')], ready: [80]},
		{
			title: 'uses a later run after a removal where no run gives its time of birth', first: {bornAtMs: 0}, entries: [entry(6, null), entry(7, {bornAtMs: 0})], ready: [80],
		},
		{
			title: 'does not use a lapsed run that is back where no run gives its time of birth',
			first: {bornAtMs: 0},
			entries: [{...entry(6, null), isLapsed: true}, entry(7, {bornAtMs: 0})],
			ready: [],
		},
	];
	for (const {title, first = {}, entries = [], ready} of leavingCases) {
		it(title, () => {
			const catalogue = createCatalogue();
			catalogue.mergeInstances([entry(5, first)], 5, 0);
			expect(catalogue.markLeaving(run(record(first)), 0)).to.equal(true);
			expect(catalogue.markLeaving(run(record(first)), 0)).to.equal(false);
			for (const each of entries) {
				catalogue.mergeInstances([each], each.revision, 0);
			}

			expect(catalogue.ready('settle').map(({port}) => port)).to.deep.equal(ready);
		});
	}

	it('does not use a run that a peer announced as leaving before its registration arrived', () => {
		const catalogue = createCatalogue();
		catalogue.markLeaving(run(record()), 0);
		catalogue.mergeInstances([entry(5)], 5, 0);
		expect(catalogue.ready('settle')).to.deep.equal([]);
	});

	it('forgets a leaving run only when it has not been registered for two minutes', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([entry(5)], 5, 0);
		catalogue.markLeaving(run(record()), 0);
		catalogue.tick(200_000);
		catalogue.mergeInstances([entry(6, null)], 6, 200_000);
		catalogue.tick(319_000);
		expect(catalogue.markLeaving(run(record()), 319_000)).to.equal(false);
		catalogue.tick(321_000);
		expect(catalogue.markLeaving(run(record()), 321_000)).to.equal(true);
	});

	it('changes its version with an announcement, and its digest, which compares what the store holds, does not', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([entry(5)], 5, 0);
		const [version, digest] = [catalogue.version(), catalogue.digest()];
		catalogue.markLeaving(run(record()), 0);
		expect(catalogue.version()).to.be.above(version);
		expect(catalogue.digest()).to.deep.equal(digest);
	});

	const lapsedCases: ReadonlyArray<{readonly title: string; readonly usableForMs?: number; readonly usedForMs: number}> = [
		{title: 'within 2 s', usedForMs: 2000},
		{title: 'within the time that the reader gave', usableForMs: 1200, usedForMs: 1200},
		{title: 'within 2 s where the reader gave a longer time', usableForMs: 2500, usedForMs: 2000},
	];
	for (const {title, usableForMs, usedForMs} of lapsedCases) {
		it(`drops a lapsed instance that has not registered again ${title}`, () => {
			const catalogue = createCatalogue();
			catalogue.mergeInstances([entry(5)], 5, 0);
			catalogue.mergeInstances([{...entry(6, null), isLapsed: true, ...(usableForMs !== undefined && {usableForMs})}], 6, 1000);
			catalogue.tick(1000 + usedForMs - 1);
			expect(catalogue.ready('settle')).to.have.length(1);
			catalogue.tick(1000 + usedForMs);
			expect(catalogue.ready('settle')).to.have.length(0);
		});
	}

	it('never reverts to an older configuration', () => {
		const catalogue = createCatalogue();
		expect([7, 5, 7, 9].map(version => catalogue.mergeConfig(config(version)))).to.deep.equal([true, false, false, true]);
		expect(catalogue.config()?.version).to.equal(9);
	});

	it('is complete once both the configuration and the instances are known', () => {
		const catalogue = createCatalogue();
		catalogue.mergeConfig(config(1));
		expect(catalogue.isComplete()).to.equal(false);
		catalogue.mergeInstances([], 4, 0);
		expect(catalogue.isComplete()).to.equal(true);
	});

	it('has equal digests for equal content in any order', () => {
		const entries = [entry(5), entry(6, {}, 'i-2'), entry(7, null, 'i-3')];
		const digests = [entries, entries.toReversed()].map(order => {
			const catalogue = createCatalogue();
			for (const each of order) {
				catalogue.mergeInstances([each], 7, 0);
			}

			return catalogue.digest();
		});
		expect(digests[0]).to.deep.equal(digests[1]);
	});

	it('removes instances that a full read lacks, except those known at a later revision', () => {
		const known = [entry(5, {}, 'gone'), entry(12, {}, 'later'), entry(4, {}, 'kept')];
		const merged = reconcileFullRead([entry(4, {}, 'kept')], 10, known, false);
		expect(merged.filter(each => each.record === null).map(({instanceId, revision}) => [instanceId, revision])).to.deep.equal([['gone', 10]]);
	});
});
