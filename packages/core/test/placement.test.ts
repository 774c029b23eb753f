import {expect} from 'chai';
import fc from 'fast-check';
import {naivePlaceService} from '../src/naive/placement.ts';
import {orderForCaller, placeService, type PlacementEntry} from '../src/placement/placement.ts';
import {createRandom} from '../src/random.ts';

const dataCentres = ['dc-a', 'dc-b', 'dc-c'];
const fleet = (count: number): readonly PlacementEntry[] => Array.from({length: count}, (_, index) => ({
	hostId: `e${index}`, dataCentre: dataCentres[index % 3]!, weight: 1 + (index % 2), usable: true,
}));
const size = (service: string, instances = 6) => ({service, instances, slotsPerInstance: 4});
const idsOf = (entries: readonly PlacementEntry[]) => entries.map(({hostId}) => hostId);
const viewOf = (usable: readonly boolean[]) => fleet(usable.length).map((entry, index) => ({...entry, usable: usable[index]!}));
const usableArbitrary = (count: number) => fc.array(fc.boolean(), {minLength: count, maxLength: count});

describe('placement', () => {
	it('agrees with the naive reference', () => {
		fc.assert(fc.property(usableArbitrary(20), fc.string(), fc.integer({min: 0, max: 30}), (usable, service, instances) => {
			const entries = viewOf(usable);
			const placed = idsOf(placeService(size(service, instances), entries));
			expect(new Set(placed)).to.deep.equal(naivePlaceService(size(service, instances), entries));
		}), {seed: 51, numRuns: 100});
	});

	it('names an entry in every data centre that has one, and none only when none is usable', () => {
		fc.assert(fc.property(usableArbitrary(12), fc.string(), (usable, service) => {
			const entries = viewOf(usable);
			const reached = new Set(placeService(size(service), entries).map(entry => entry.dataCentre));
			const possible = new Set(entries.filter(entry => entry.usable).map(entry => entry.dataCentre));
			expect(reached).to.deep.equal(possible);
		}), {seed: 52, numRuns: 200});
	});

	it('changes by at most one entry for each host in which two views differ', () => {
		fc.assert(fc.property(usableArbitrary(20), usableArbitrary(20), fc.string(), (left, right, service) => {
			const [first, second] = [left, right].map(usable => idsOf(placeService(size(service), viewOf(usable))));
			const differing = left.filter((usable, index) => usable !== right[index]).length;
			expect(first!.filter(id => !second!.includes(id)).length).to.be.at.most(differing);
		}), {seed: 53, numRuns: 300});
	});

	it('only adds entries when a service grows', () => {
		fc.assert(fc.property(fc.string(), fc.integer({min: 0, max: 40}), fc.integer({min: 0, max: 40}), (service, instances, more) => {
			const before = idsOf(placeService(size(service, instances), fleet(44)));
			expect(idsOf(placeService(size(service, instances + more), fleet(44)))).to.include.members(before);
		}), {seed: 54, numRuns: 100});
	});

	it('gives entries of twice the weight 1.7 to 2.2 times as many services', () => {
		const counts = new Map<string, number>();
		for (let index = 0; index < 3400; index++) {
			for (const {hostId} of placeService(size(`service-${index}`, 1), fleet(44))) {
				counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
			}
		}

		const mean = (weight: number) => {
			const group = fleet(44).filter(entry => entry.weight === weight);
			return group.reduce((sum, {hostId}) => sum + (counts.get(hostId) ?? 0), 0) / group.length;
		};

		expect(mean(2) / mean(1)).to.be.within(1.7, 2.2);
	});

	it('puts each entry first equally often, and entries in the data centre of the caller before others', () => {
		const random = createRandom(55);
		const entries = placeService(size('seatledger', 1), fleet(44));
		const firsts = new Map<string, number>();
		for (let index = 0; index < 6000; index++) {
			const [first] = orderForCaller(entries, random);
			firsts.set(first!.hostId, (firsts.get(first!.hostId) ?? 0) + 1);
		}

		expect([...firsts.values()].every(count => Math.abs(count - 1000) < 150)).to.be.true;
		const near = orderForCaller(entries, random, 'dc-b');
		expect(near.slice(0, 2).map(entry => entry.dataCentre)).to.deep.equal(['dc-b', 'dc-b']);
		expect(near).to.have.lengthOf(entries.length);
	});
});
