import {expect} from 'chai';
import fc from 'fast-check';
import {runModel, type Mutation, type Step} from './once-model.ts';

const seed = 4_010_101;
const runs = 4000;

const small = fc.nat(5);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			op: fc.constant('send' as const),
			key: small,
			entries: fc.array(small, {minLength: 1, maxLength: 3}),
			mark: fc.constantFrom('first' as const, 'first' as const, 'resend' as const, 'unmarked' as const),
			deadlineMs: fc.constantFrom(500, 2000, 30_000, 600_000),
		}),
	},
	{
		weight: 6,
		arbitrary: fc.record({
			op: fc.constant('progress' as const), entry: small, ticket: small, result: fc.constantFrom('ran' as const, 'lost' as const, 'not-run' as const),
		}),
	},
	{
		weight: 5,
		arbitrary: fc.record({op: fc.constantFrom('pause' as const, 'resume' as const, 'kill' as const, 'start' as const, 'gossip' as const), entry: small}),
	},
	{weight: 1, arbitrary: fc.record({op: fc.constant('cut' as const), from: small, to: small})},
	{weight: 1, arbitrary: fc.constant({op: 'heal' as const})},
	{weight: 4, arbitrary: fc.record({op: fc.constant('advance' as const), durationMs: fc.constantFrom(100, 3000, 11_000, 59_000, 130_000)})},
);

const caseArbitrary = fc.record({
	steps: fc.array(stepArbitrary, {minLength: 4, maxLength: 40, size: 'max'}),
	keyKinds: fc.array(fc.boolean(), {minLength: 1, maxLength: 6}),
});

const check = (mutation: Mutation | undefined, numRuns: number) => fc.check(fc.property(caseArbitrary, ({steps, keyKinds}) => {
	expect(runModel(steps, keyKinds, mutation).violations).to.deep.equal([]);
}), {seed, numRuns, endOnFailure: true});

describe('createAtMostOnceGate at several entries', function () {
	this.timeout(120_000);

	it('runs each key at most once and never misreports a run, despite partitions, paused processes, late requests, crashes and restarts', () => {
		const details = check(undefined, runs);
		expect(details.failed, fc.defaultReportMessage(details)).to.equal(false);
	});

	it('gives every kind of answer in those runs, so that the property is not checked vacuously', () => {
		const seen = new Set<string>();
		fc.assert(fc.property(caseArbitrary, ({steps, keyKinds}) => {
			for (const kind of Object.keys(runModel(steps, keyKinds).answers)) {
				seen.add(kind);
			}
		}), {seed, numRuns: runs});
		expect([...seen]).to.include.members([
			'replay',
			'outcome-unknown',
			'key-expired',
			'key-owner-gone',
			'key-owner-unreachable',
			'key-memory-full',
			'deadline-expired',
			'backend ran',
			'backend lost',
			'backend not-run',
		]);
	});

	// The first send stays unread at a paused entry until the key has expired at its owner.
	const lateFirstSend: readonly Step[] = [
		{op: 'pause', entry: 0},
		{
			op: 'send', key: 0, entries: [0], mark: 'first', deadlineMs: 500,
		},
		{op: 'advance', durationMs: 3000},
		{
			op: 'send', key: 0, entries: [1], mark: 'unmarked', deadlineMs: 30_000,
		},
		{
			op: 'progress', entry: 1, ticket: 0, result: 'ran',
		},
		{
			op: 'progress', entry: 1, ticket: 0, result: 'ran',
		},
		{op: 'advance', durationMs: 130_000},
		{op: 'resume', entry: 0},
		{
			op: 'progress', entry: 1, ticket: 0, result: 'ran',
		},
	];

	it('does not run a first send that stayed unread for longer than its key is stored', () => {
		expect(runModel(lateFirstSend, [false]).violations).to.deep.equal([]);
		expect(runModel(lateFirstSend, [false], 'no-distrust').violations).to.not.be.empty;
	});

	// Found in 53,081 sequences of seed 11: the entry that had been paused forwarded the mark, and the owner trusted it.
	const lateMark: readonly Step[] = [
		{op: 'pause', entry: 2},
		{
			op: 'send', key: 0, entries: [2], mark: 'first', deadlineMs: 500,
		},
		{op: 'advance', durationMs: 3000},
		{
			op: 'send', key: 0, entries: [0], mark: 'unmarked', deadlineMs: 500,
		},
		{
			op: 'progress', entry: 0, ticket: 0, result: 'ran',
		},
		{
			op: 'progress', entry: 0, ticket: 0, result: 'ran',
		},
		{op: 'advance', durationMs: 130_000},
		{
			op: 'send', key: 0, entries: [0], mark: 'unmarked', deadlineMs: 500,
		},
		{op: 'resume', entry: 2},
	];

	it('does not trust the mark of a first send that stayed unread before it was forwarded', () => {
		expect(runModel(lateMark, [true]).violations).to.deep.equal([]);
		expect(runModel(lateMark, [true], 'trust-every-mark').violations).to.not.be.empty;
	});

	const mutations: readonly Mutation[] = ['no-owner', 'no-key-store', 'no-incarnation', 'no-write-check', 'no-settling', 'wrong-refusal'];
	for (const mutation of mutations) {
		it(`violates a guarantee with the mutation ${mutation}`, () => {
			expect(check(mutation, 20 * runs).failed).to.equal(true);
		});
	}
});
