import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {
	createProblem, createRefusal, errorAnswers, type ErrorKind,
} from '../src/index.ts';

const page = readFileSync(new URL('../../../docs/reference/callers.md', import.meta.url), 'utf8');

describe('errorAnswers', () => {
	for (const [kind, {statusCode, ran, retryAfterSeconds}] of Object.entries(errorAnswers)) {
		it(`answers ${kind} as documented for callers`, () => {
			expect(page).to.include(`| \`${kind}\` | ${statusCode} | ${ran} | ${retryAfterSeconds ?? '-'} |`);
			expect(createProblem(kind as ErrorKind)).to.include({kind, ran, status: statusCode});
		});
	}

	it('can be overridden by what is known of one request', () => {
		expect(createRefusal('key-expired')).to.deep.equal({kind: 'key-expired', ran: 'unknown'});
		expect(createRefusal('key-expired', 'not-run')).to.deep.equal({kind: 'key-expired', ran: 'not-run'});
		expect(createProblem('key-expired', undefined, 'not-run')).to.include({status: 409, ran: 'not-run'});
	});
});
