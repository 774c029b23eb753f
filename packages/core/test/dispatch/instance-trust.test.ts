import {expect} from 'chai';
import {createInstanceTrust, type InstanceTrust} from '../../src/dispatch/instance-trust.ts';

describe('trust in an instance that is avoided', () => {
	const cases: ReadonlyArray<readonly [title: string, learn: (trust: InstanceTrust) => void, atMs: number, mayHaveRecovered: boolean]> = [
		['broke a request 3.4 s ago', trust => trust.observe('broken', 0, 0), 3400, false],
		['broke a request 3.5 s ago', trust => trust.observe('broken', 0, 0), 3500, true],
		['broke a request 3.5 s ago, by the word of a peer', trust => {
			trust.hear(undefined, 5000, 0);
		}, 3500, true],
		['broke a request, of which a peer\'s repetition came 400 ms late', trust => {
			trust.hear(undefined, 5000, 0);
			trust.hear(undefined, 5400, 3400);
		}, 3600, true],
		['broke another request since', trust => {
			trust.hear(undefined, 5000, 0);
			trust.hear(undefined, 8000, 3000);
		}, 3600, false],
		['was silent', trust => trust.observe('no-answer', 0, 0), 4000, false],
		['could not be reached', trust => trust.observe('unreachable', 0, 0), 900, false],
		['lost its address to another', trust => trust.observe('replaced', 0, 0), 4000, false],
		['lost its address to another, by the word of a peer', trust => {
			trust.hear(undefined, 8000, 0);
		}, 4000, false],
	];
	for (const [title, learn, atMs, mayHaveRecovered] of cases) {
		it(`${mayHaveRecovered ? 'lets' : 'does not let'} the spread come back to one that ${title}`, () => {
			const trust = createInstanceTrust();
			learn(trust);
			expect([trust.isAvoided(atMs), trust.mayHaveRecovered(atMs)]).to.deep.equal([true, mayHaveRecovered]);
		});
	}

	it('tells that an instance is avoided from now on since another has its address', () => {
		expect(createInstanceTrust().observe('replaced', 0, 0)).to.equal(true);
	});
});
