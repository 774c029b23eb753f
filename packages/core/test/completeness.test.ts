import {expect} from 'chai';
import {createCatalogue, type Coverage, type InstanceEntry} from '@egretwing/core';
import {entry} from './support/catalogue-fleet.ts';

type Merge = {readonly entries: readonly InstanceEntry[]; readonly asOf: number; readonly coverage?: Coverage};

const list = (asOf: number, entries: readonly InstanceEntry[], lapsesUntilMs?: number): Merge =>
	({entries, asOf, coverage: {sinceAsOf: -1, asOf, ...(lapsesUntilMs !== undefined && {lapsesUntilMs})}});
const changes = (sinceAsOf: number, asOf: number, entries: readonly InstanceEntry[]): Merge => ({entries, asOf, coverage: {sinceAsOf, asOf}});
const news = (asOf: number, entries: readonly InstanceEntry[]): Merge => ({entries, asOf});

describe('an older entry of an instance that is not known', () => {
	// Guards against instances that have left and come back into use from a peer that had not heard of their removal.
	const older = news(5, [entry('i-1', 5)]);
	const cases: ReadonlyArray<{readonly title: string; readonly before: readonly Merge[]; readonly isUsed: boolean}> = [
		{title: 'is not used after a full read of a later revision', before: [list(9, [])], isUsed: false},
		{title: 'is not used after a full read and changes that follow it', before: [list(3, []), changes(3, 9, [entry('i-2', 8)])], isUsed: false},
		{title: 'is not used after changes that overlap with what is known', before: [list(3, []), changes(1, 9, [entry('i-2', 8)])], isUsed: false},
		{title: 'is used where nothing has been read', before: [], isUsed: true},
		{title: 'is used after changes alone', before: [changes(3, 9, [entry('i-2', 8)])], isUsed: true},
		{title: 'is used where news in between may have been lost', before: [list(3, []), news(9, [entry('i-2', 8)])], isUsed: true},
		{title: 'is used where changes in between were lost', before: [list(3, []), changes(6, 9, [entry('i-2', 8)])], isUsed: true},
		{title: 'is used when its revision is above that of the full read', before: [list(4, [])], isUsed: true},
		{title: 'is used until its registration may no longer be renewed after an outage', before: [list(9, [], 1000)], isUsed: true},
	];
	for (const {title, before, isUsed} of cases) {
		it(title, () => {
			const catalogue = createCatalogue();
			for (const {entries, asOf, coverage} of before) {
				catalogue.mergeInstances(entries, asOf, 0, coverage);
			}

			catalogue.mergeInstances(older.entries, older.asOf, 0);
			expect(catalogue.ready('s').map(({instanceId}) => instanceId).includes('i-1')).to.equal(isUsed);
		});
	}

	it('is answered with a removal, which reaches those that still know the instance', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([], 9, 0, {sinceAsOf: -1, asOf: 9});
		expect(catalogue.mergeInstances(older.entries, older.asOf, 0)).to.deep.equal([{instanceId: 'i-1', revision: 9, record: null}]);
		expect(catalogue.mergeInstances(older.entries, older.asOf, 0)).to.deep.equal([]);
	});

	it('is of use only for as long as its registration may be renewed after an outage', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([], 9, 0, {sinceAsOf: -1, asOf: 9, lapsesUntilMs: 1000});
		expect(catalogue.mergeInstances(older.entries, older.asOf, 400)).to.deep.equal([{
			instanceId: 'i-1', revision: 9, record: null, isLapsed: true, usableForMs: 600,
		}]);
		catalogue.tick(1000);
		expect(catalogue.ready('s')).to.deep.equal([]);
	});

	it('does not keep the instance from registering again at once', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([], 9, 0, {sinceAsOf: -1, asOf: 9});
		catalogue.mergeInstances(older.entries, older.asOf, 0);
		catalogue.mergeInstances([entry('i-1', 10)], 10, 0);
		expect(catalogue.ready('s')).to.have.length(1);
	});
});

describe('completeness', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly merges: readonly Merge[]; readonly asOf: number; readonly changedAsOf: number}> = [
		{
			title: 'is that of a full read', merges: [list(9, [entry('i-1', 5)])], asOf: 9, changedAsOf: 9,
		},
		{
			title: 'moves on with changes, and tells when the last one was', merges: [list(9, []), changes(9, 14, [entry('i-1', 12)])], asOf: 14, changedAsOf: 12,
		},
		{
			title: 'moves on when nothing has changed', merges: [list(9, []), changes(9, 14, [])], asOf: 14, changedAsOf: 9,
		},
		{
			title: 'stays where changes are missing', merges: [list(9, []), changes(10, 14, [entry('i-1', 12)])], asOf: 9, changedAsOf: 9,
		},
		{
			title: 'does not go back with an older full read', merges: [list(9, []), list(7, [])], asOf: 9, changedAsOf: 9,
		},
	];
	for (const {title, merges, asOf, changedAsOf} of cases) {
		it(title, () => {
			const catalogue = createCatalogue();
			for (const merge of merges) {
				catalogue.mergeInstances(merge.entries, merge.asOf, 0, merge.coverage);
			}

			expect(catalogue.completeness()).to.include({asOf, changedAsOf});
		});
	}

	it('no longer shows removals whose entries are not kept', () => {
		const catalogue = createCatalogue();
		catalogue.mergeInstances([], 9, 0, {sinceAsOf: -1, asOf: 9});
		catalogue.mergeInstances([{instanceId: 'i-1', revision: 12, record: null}], 12, 0, {sinceAsOf: 9, asOf: 12});
		catalogue.tick(119_999);
		expect(catalogue.completeness().removalsSinceAsOf).to.equal(9);
		catalogue.tick(120_000);
		expect(catalogue.completeness().removalsSinceAsOf).to.equal(12);
	});
});
