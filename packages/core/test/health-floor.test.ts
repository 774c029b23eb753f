import {expect} from 'chai';
import fc from 'fast-check';
import {chooseEjected, floorCount} from '../src/health/floor.ts';

const seed = 20_261;
const runs = 2000;

const fleet = fc.record({
	instances: fc.array(fc.record({isFailing: fc.boolean(), isProven: fc.boolean(), isClaimed: fc.boolean()}), {minLength: 1, maxLength: 24}),
	floorShare: fc.double({min: 0, max: 1, noNaN: true}),
}).map(({instances, floorShare}) => ({
	service: 'svc',
	floorShare,
	listed: instances.map((_, index) => `i${index}`),
	failing: new Set(instances.flatMap(({isFailing}, index) => isFailing ? [`i${index}`] : [])),
	claimed: new Set(instances.flatMap(({isClaimed}, index) => isClaimed ? [`i${index}`] : [])),
	proven: new Set(instances.flatMap(({isProven}, index) => isProven ? [`i${index}`] : [])),
}));

describe('chooseEjected', () => {
	it('keeps the floor of instances with recent proof of health, or ejects none', () => {
		fc.assert(fc.property(fleet, input => {
			const ejected = chooseEjected(input);
			const left = input.listed.filter(id => input.proven.has(id) && !ejected.has(id));
			expect(ejected.size === 0 || left.length >= floorCount(input.listed.length, input.floorShare)).to.equal(true);
			expect([...ejected].every(id => input.failing.has(id))).to.equal(true);
		}), {seed, numRuns: runs});
	});

	it('chooses the same instances for any order of the host list', () => {
		fc.assert(fc.property(fleet, input => {
			const reversed = chooseEjected({...input, listed: input.listed.toReversed()});
			expect([...reversed].toSorted()).to.deep.equal([...chooseEjected(input)].toSorted());
		}), {seed, numRuns: runs});
	});

	it('spares no failing instance that the floor allows to be ejected', () => {
		fc.assert(fc.property(fleet, fleetInput => {
			const input = {...fleetInput, claimed: new Set<string>()};
			const ejected = chooseEjected(input);
			const floor = floorCount(input.listed.length, input.floorShare);
			const left = input.listed.filter(id => input.proven.has(id) && !ejected.has(id)).length;
			const spared = input.listed.filter(id => input.failing.has(id) && !ejected.has(id));
			expect(spared.every(id => (input.proven.has(id) ? left - 1 : left) < floor)).to.equal(true);
		}), {seed, numRuns: runs});
	});

	it('keeps the floor over two entries with different evidence once each knows the claims of the other', () => {
		const opinions = fc.record({a: fleet, b: fleet, rounds: fc.integer({min: 2, max: 6})});
		fc.assert(fc.property(opinions, ({a, b, rounds}) => {
			const listed = a.listed.length > b.listed.length ? a.listed : b.listed;
			const floor = floorCount(listed.length, a.floorShare);
			const decide = (opinion: typeof a, claimed: ReadonlySet<string>): ReadonlySet<string> =>
				chooseEjected({
					...opinion, listed, floorShare: a.floorShare, claimed,
				});
			let [ofA, ofB] = [decide(a, new Set()), decide(b, new Set())];
			for (let round = 0; round < rounds; round++) {
				[ofA, ofB] = [decide(a, ofB), decide(b, ofA)];
			}

			expect(listed.length - new Set([...ofA, ...ofB]).size).to.be.at.least(floor);
		}), {seed, numRuns: runs});
	});

	const cases = [
		{
			title: 'one of ten instances fails', failing: ['i0'], proven: 9, expected: 1,
		},
		{
			title: 'five of ten instances fail and the floor is five', failing: ['i0', 'i1', 'i2', 'i3', 'i4'], proven: 10, expected: 5,
		},
		{
			title: 'seven of ten instances fail and all have recent proof of health', failing: ['i0', 'i1', 'i2', 'i3', 'i4', 'i5', 'i6'], proven: 10, expected: 5,
		},
		{
			title: 'no instance has recent proof of health', failing: ['i0'], proven: 0, expected: 0,
		},
	];
	for (const {title, failing, proven, expected} of cases) {
		it(`ejects ${expected} when ${title}`, () => {
			const listed = Array.from({length: 10}, (_, index) => `i${index}`);
			const ejected = chooseEjected({
				service: 'svc', listed, failing: new Set(failing), claimed: new Set(), proven: new Set(listed.slice(10 - proven)), floorShare: 0.5,
			});
			expect(ejected.size).to.equal(expected);
		});
	}
});
