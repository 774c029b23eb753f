import {expect} from 'chai';
import fc from 'fast-check';
import {createConfigStore} from '../src/config/store.ts';
import {naiveRecordsInForce} from '../src/naive/config-store.ts';

type Written = Readonly<Record<string, unknown>>;

const route = (name: string, revision: number, more: Written = {}): Written => ({
	kind: 'route', schemaVersion: 2, name, revision, pathPrefix: '/seats', service: 'seatledger', semantics: 'idempotent', ...more,
});
const oldRoute = (name: string, revision: number, path = '/old'): Written => ({
	kind: 'route', schemaVersion: 1, name, revision, path, service: 'seatledger', repeatable: true,
});
const service = (name: string, revision: number): Written => ({
	kind: 'service', schemaVersion: 1, name, revision, floorPercent: 60,
});
const removedRoute = (name: string, revision: number): Written => ({
	kind: 'removed', schemaVersion: 2, removedKind: 'route', name, revision,
});

const nameArbitrary = fc.constantFrom('a', 'b', 'c');
const revisionArbitrary = fc.integer({min: 1, max: 4});
const recordArbitrary = fc.oneof(
	fc.tuple(nameArbitrary, revisionArbitrary, fc.constantFrom('/x', '/y', 'bad'), fc.constantFrom('idempotent', 'at-most-once', 'other'))
		.map(([name, revision, pathPrefix, semantics]) => route(name, revision, {pathPrefix, semantics})),
	fc.tuple(nameArbitrary, revisionArbitrary).map(([name, revision]) => oldRoute(name, revision)),
	fc.tuple(nameArbitrary, revisionArbitrary).map(([name, revision]) => service(name, revision)),
	fc.tuple(nameArbitrary, revisionArbitrary).map(([name, revision]) => removedRoute(name, revision)),
	fc.constantFrom<Written>({kind: 'route'}, {kind: 'mirror', name: 'm', revision: 2}),
);

const inForce = (store: ReturnType<typeof createConfigStore>) =>
	[...store.records()].toSorted((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1);

describe('configuration store', () => {
	const cases = [
		{title: 'keeps the higher revision when an older one comes later', written: [route('a', 3), route('a', 2)], revision: 3},
		{title: 'accepts a higher revision written in an older schema version', written: [route('a', 3), oldRoute('a', 4)], revision: 4},
		{title: 'keeps the last valid record when a newer one is invalid', written: [route('a', 3), route('a', 4, {semantics: 'often'})], revision: 3},
		{title: 'accepts a valid record after an invalid one', written: [route('a', 3), route('a', 4, {semantics: 'often'}), route('a', 5)], revision: 5},
		{title: 'does not restore a removed record from an older revision', written: [removedRoute('a', 5), route('a', 4)], revision: 5},
		{title: 'accepts a record that is newer than its removal', written: [removedRoute('a', 5), route('a', 6)], revision: 6},
	];
	for (const {title, written, revision} of cases) {
		it(title, () => {
			const store = createConfigStore();
			store.merge(written);
			expect(store.get('route', 'a')?.revision).to.equal(revision);
		});
	}

	it('prefers at-most-once among equal revisions in either order and counts the conflict', () => {
		const conflicting = [route('a', 2), route('a', 2, {semantics: 'at-most-once'})];
		for (const written of [conflicting, conflicting.toReversed()]) {
			const store = createConfigStore();
			store.merge(written);
			expect(store.get('route', 'a')).to.include({semantics: 'at-most-once'});
			expect(store.counters().conflicts).to.equal(1);
		}
	});

	it('sends on a newer record that it cannot validate itself', () => {
		const store = createConfigStore();
		const report = store.merge([route('a', 1), route('a', 2, {schemaVersion: 3})]);
		expect(report.refused).to.have.lengthOf(1);
		const other = createConfigStore();
		other.mergeTexts(report.changedTexts);
		expect(other.rootDigest()).to.equal(store.rootDigest());
		expect(other.get('route', 'a')?.revision).to.equal(1);
	});

	it('agrees with the naive reference in any order and with duplicates', () => {
		fc.assert(fc.property(fc.array(recordArbitrary, {maxLength: 30}), fc.array(fc.nat(), {maxLength: 30}), (written, order) => {
			const store = createConfigStore();
			store.merge(written);
			const other = createConfigStore();
			for (const index of order) {
				other.merge(written.slice(index % 7, (index % 7) + 3));
			}

			for (const value of written.toReversed()) {
				other.merge([value]);
			}

			const expected = [...naiveRecordsInForce(written).values()];
			expect(inForce(store)).to.have.deep.members(expected);
			expect(inForce(other)).to.deep.equal(inForce(store));
			expect(other.groupDigests()).to.deep.equal(store.groupDigests());
			expect(store.size()).to.equal(expected.length);
		}), {seed: 41, numRuns: 500});
	});

	it('never lowers a revision, whatever is merged', () => {
		fc.assert(fc.property(fc.array(recordArbitrary, {maxLength: 40}), written => {
			const store = createConfigStore();
			const highest = new Map<string, number>();
			for (const value of written) {
				store.merge([value]);
				for (const record of store.records()) {
					const key = record.kind === 'removed' ? `${record.removedKind}/${record.name}` : `${record.kind}/${record.name}`;
					expect(record.revision).to.be.at.least(highest.get(key) ?? 0);
					highest.set(key, record.revision);
				}
			}
		}), {seed: 42, numRuns: 300});
	});
});
