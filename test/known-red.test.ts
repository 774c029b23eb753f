import {expect} from 'chai';
import {readTitles} from './support/known-red.ts';

describe('readTitles', () => {
	const cases = [
		{title: 'reads one title per entry', text: 'test: a b\nseed: 1\n\ntest: c', expected: ['a b', 'c']},
		{title: 'reads no titles from a list without entries', text: 'Nothing is known to fail.\n', expected: []},
	];
	for (const {title, text, expected} of cases) {
		it(title, () => {
			expect([...readTitles(text)]).to.deep.equal(expected);
		});
	}
});
