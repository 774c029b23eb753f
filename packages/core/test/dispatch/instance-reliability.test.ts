import {expect} from 'chai';
import {createInstanceReliability, type InstanceReliability} from '../../src/dispatch/instance-reliability.ts';

describe('reliability of an avoided instance', () => {
	const cases: ReadonlyArray<readonly [title: string, prepare: (reliability: InstanceReliability) => void, atMs: number, mayHaveRecovered: boolean]> = [
		['broke a request 3.4 s ago', reliability => reliability.observe('broken', 0, 0), 3400, false],
		['broke a request 3.5 s ago', reliability => reliability.observe('broken', 0, 0), 3500, true],
		['broke a request 3.5 s ago as reported by a peer', reliability => {
			reliability.receiveReport(undefined, 5000, 0);
		}, 3500, true],
		['broke a request that a peer reported again 400 ms late', reliability => {
			reliability.receiveReport(undefined, 5000, 0);
			reliability.receiveReport(undefined, 5400, 3400);
		}, 3600, true],
		['broke another request since', reliability => {
			reliability.receiveReport(undefined, 5000, 0);
			reliability.receiveReport(undefined, 8000, 3000);
		}, 3600, false],
		['did not answer', reliability => reliability.observe('no-answer', 0, 0), 4000, false],
		['could not be reached', reliability => reliability.observe('unreachable', 0, 0), 900, false],
		['lost its address to another', reliability => reliability.observe('replaced', 0, 0), 4000, false],
		['lost its address to another as reported by a peer', reliability => {
			reliability.receiveReport(undefined, 8000, 0);
		}, 4000, false],
	];
	for (const [title, prepare, atMs, mayHaveRecovered] of cases) {
		it(`${mayHaveRecovered ? 'allows' : 'does not allow'} the spread to use one that ${title}`, () => {
			const reliability = createInstanceReliability();
			prepare(reliability);
			expect([reliability.isAvoided(atMs), reliability.mayHaveRecovered(atMs)]).to.deep.equal([true, mayHaveRecovered]);
		});
	}

	it('returns that an instance is avoided from now on once another has its address', () => {
		expect(createInstanceReliability().observe('replaced', 0, 0)).to.equal(true);
	});
});
