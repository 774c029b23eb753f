import {expect} from 'chai';
import {createSinglePull, type PullStep} from '../src/catalogue-sync/single-pull.ts';

describe('pull from one peer at a time', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly others: readonly string[]; readonly isReceiving: boolean; readonly atMs: number; readonly expected: PullStep}> = [
		{
			title: 'waits for a short time', others: ['g-2'], isReceiving: false, atMs: 299, expected: {type: 'wait'},
		},
		{
			title: 'asks the next peer when the one asked is unresponsive',
			others: ['g-2', 'g-3'], isReceiving: false, atMs: 300,
			expected: {type: 'unresponsive', unresponsiveId: 'g-1', nextId: 'g-2'},
		},
		{
			title: 'ends when the peer asked is unresponsive and no other offered the object',
			others: [], isReceiving: false, atMs: 300,
			expected: {type: 'unresponsive', unresponsiveId: 'g-1', nextId: undefined},
		},
		{
			title: 'does not ask an unresponsive peer again',
			others: ['g-1'], isReceiving: false, atMs: 300,
			expected: {type: 'unresponsive', unresponsiveId: 'g-1', nextId: undefined},
		},
		{
			title: 'waits while the answer is arriving', others: ['g-2'], isReceiving: true, atMs: 999, expected: {type: 'wait'},
		},
		{
			title: 'asks the next peer as well when the answer arrives too slowly', others: ['g-2'], isReceiving: true, atMs: 1000, expected: {type: 'slow', nextId: 'g-2'},
		},
		{
			title: 'keeps waiting for a slow answer when no other peer offered the object', others: [], isReceiving: true, atMs: 1000, expected: {type: 'wait'},
		},
	];
	for (const {
		title, others, isReceiving, atMs, expected,
	} of cases) {
		it(title, () => {
			const pull = createSinglePull(() => isReceiving);
			expect(['g-1', ...others].map(id => pull.offer(id, 0))).to.deep.equal([true, ...others.map(() => false)]);
			expect(pull.advance(atMs)).to.deep.equal(expected);
		});
	}
});
