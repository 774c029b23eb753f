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

	it('drops a lapsed instance that has not registered again within 2 s', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([entry(5)], 5, 0);
		catalogue.mergeInstances([{...entry(6, null), isLapsed: true}], 6, 1000);
		catalogue.tick(2999);
		expect(catalogue.ready('settle')).to.have.length(1);
		catalogue.tick(3000);
		expect(catalogue.ready('settle')).to.have.length(0);
	});

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
