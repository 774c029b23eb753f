import {expect} from 'chai';
import {createSinglePull, type PullStep} from '../src/catalogue-sync/single-pull.ts';

describe('a question that one peer is asked at a time', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly others: readonly string[]; readonly isArriving: boolean; readonly atMs: number; readonly expected: PullStep}> = [
		{
			title: 'waits for a short time', others: ['g-2'], isArriving: false, atMs: 299, expected: {type: 'waits'},
		},
		{
			title: 'goes to the next when the one asked is silent', others: ['g-2', 'g-3'], isArriving: false, atMs: 300, expected: {type: 'silent', silentId: 'g-1', nextId: 'g-2'},
		},
		{
			title: 'ends when the one asked is silent and nobody else offered it', others: [], isArriving: false, atMs: 300, expected: {type: 'silent', silentId: 'g-1', nextId: undefined},
		},
		{
			title: 'does not go to the same again that is silent', others: ['g-1'], isArriving: false, atMs: 300, expected: {type: 'silent', silentId: 'g-1', nextId: undefined},
		},
		{
			title: 'waits while the answer arrives', others: ['g-2'], isArriving: true, atMs: 999, expected: {type: 'waits'},
		},
		{
			title: 'goes to the next as well when the answer arrives too slowly', others: ['g-2'], isArriving: true, atMs: 1000, expected: {type: 'slow', nextId: 'g-2'},
		},
		{
			title: 'waits on for a slow answer that nobody else has', others: [], isArriving: true, atMs: 1000, expected: {type: 'waits'},
		},
	];
	for (const {
		title, others, isArriving, atMs, expected,
	} of cases) {
		it(title, () => {
			const pull = createSinglePull(() => isArriving);
			expect(['g-1', ...others].map(id => pull.offer(id, 0))).to.deep.equal([true, ...others.map(() => false)]);
			expect(pull.advance(atMs)).to.deep.equal(expected);
		});
	}
});
