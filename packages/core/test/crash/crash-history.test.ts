import {expect} from 'chai';
import fc from 'fast-check';
import {createCrashHistory, createFingerprint, type CrashReport} from '../../src/crash/index.ts';

const seed = 4;
const hourMs = 3_600_000;

const createReport = (instanceId: string, ageMs = 0, fingerprint = 'f'): CrashReport => ({
	service: 's', fingerprint, instanceId, ageMs,
});

describe('createCrashHistory', () => {
	type Case = {
		readonly title: string;
		readonly reports: ReadonlyArray<readonly [atMs: number, report: CrashReport]>;
		readonly answeredAtMs?: number;
		readonly askedAtMs: number;
		readonly expected: string;
	};
	const cases: readonly Case[] = [
		{
			title: 'lets an unknown request run on its home instances', reports: [], askedAtMs: 0, expected: 'homes',
		},
		{
			title: 'lets a request with a recent answer run on any instance', reports: [], answeredAtMs: 0, askedAtMs: 9999, expected: 'anywhere',
		},
		{
			title: 'forgets an answer after ten seconds', reports: [], answeredAtMs: 0, askedAtMs: 10_000, expected: 'homes',
		},
		{
			title: 'lets a request that was in flight at one crash run alone', reports: [[0, createReport('a')]], askedAtMs: 1, expected: 'alone',
		},
		{
			title: 'refuses a request that was in flight at the crashes of two instances', reports: [[0, createReport('a')], [5, createReport('b')]], askedAtMs: 6, expected: 'refused',
		},
		{
			title: 'counts one crash once, even if it is reported repeatedly and late',
			reports: [[0, createReport('a')], [5, createReport('a', 4)], [1000, createReport('a', 999)]],
			askedAtMs: 1001,
			expected: 'alone',
		},
		{
			title: 'counts a second crash of an instance that was restarted', reports: [[0, createReport('a')], [3000, createReport('a')]], askedAtMs: 3001, expected: 'refused',
		},
		{
			title: 'clears a request that was answered since the crash', reports: [[0, createReport('a')]], answeredAtMs: 10, askedAtMs: 11, expected: 'anywhere',
		},
		{
			title: 'ignores a late report of a crash before the last answer', reports: [[20, createReport('a', 15)]], answeredAtMs: 10, askedAtMs: 21, expected: 'anywhere',
		},
		{
			title: 'forgets a crash one hour after its request was last seen', reports: [[0, createReport('a')], [5, createReport('b')]], askedAtMs: hourMs + 5, expected: 'homes',
		},
	];
	for (const {title, reports, answeredAtMs, askedAtMs, expected} of cases) {
		it(title, () => {
			const history = createCrashHistory();
			if (answeredAtMs !== undefined && !reports.some(([atMs]) => atMs < answeredAtMs)) {
				history.recordAnswer('f', answeredAtMs);
			}

			for (const [atMs, report] of reports) {
				history.record(report, atMs);
			}

			if (answeredAtMs !== undefined && reports.some(([atMs]) => atMs < answeredAtMs)) {
				history.recordAnswer('f', answeredAtMs);
			}

			expect(history.placementOf('f', askedAtMs).type).to.equal(expected);
		});
	}

	it('refuses a request for as long as it keeps being sent', () => {
		const history = createCrashHistory();
		history.record(createReport('a'), 0);
		history.record(createReport('b'), 0);
		for (let nowMs = 0; nowMs < 10 * hourMs; nowMs += hourMs - 1) {
			expect(history.placementOf('f', nowMs).type).to.equal('refused');
		}
	});

	it('withdraws a crash of an instance that is alive', () => {
		const history = createCrashHistory();
		history.record(createReport('a'), 0);
		history.record(createReport('b'), 0);
		history.withdraw('f', 'b');
		expect(history.placementOf('f', 1)).to.deep.equal({type: 'alone', excludedIds: ['a']});
	});

	it('gives the same placement for any order and repetition of reports', () => {
		const reports = fc.array(fc.record({instance: fc.nat(3), fingerprint: fc.nat(3)}), {maxLength: 12});
		fc.assert(fc.property(reports, fc.array(fc.nat(), {minLength: 24, maxLength: 24}), (items, ranks) => {
			const first = createCrashHistory();
			const second = createCrashHistory();
			const asReport = ({instance, fingerprint}: {readonly instance: number; readonly fingerprint: number}) =>
				createReport(`instance-${instance}`, 0, `f${fingerprint}`);
			for (const item of items) {
				first.record(asReport(item), 0);
			}

			const shuffled = [...items, ...items].map((item, index) => ({item, rank: ranks[index] ?? 0})).toSorted((left, right) => left.rank - right.rank);
			for (const {item} of shuffled) {
				second.record(asReport(item), 0);
			}

			for (const fingerprint of ['f0', 'f1', 'f2', 'f3']) {
				expect(second.placementOf(fingerprint, 1).type).to.equal(first.placementOf(fingerprint, 1).type);
			}
		}), {seed});
	});

	it('is bounded in size', () => {
		const history = createCrashHistory();
		for (let index = 0; index < 50_000; index++) {
			history.record(createReport('a', 0, `one-${index}`), 0);
			history.record(createReport('a', 0, `two-${index}`), 0);
			history.record(createReport('b', 0, `two-${index}`), 0);
			history.recordAnswer(`answered-${index}`, 0);
		}

		expect(history.size()).to.be.at.most(4096 + 4096 + 8192);
	});
});

describe('fingerprint of a request', () => {
	const parts = {
		service: 's', method: 'POST', target: '/a?b=1', bodyDigest: 'x',
	};
	const cases = [
		{title: 'is the same for a resend', change: {}, isSame: true},
		{title: 'differs by method', change: {method: 'PUT'}, isSame: false},
		{title: 'differs by query', change: {target: '/a?b=2'}, isSame: false},
		{title: 'differs by body', change: {bodyDigest: 'y'}, isSame: false},
		{title: 'differs by key', change: {key: 'k'}, isSame: false},
		{title: 'differs by service', change: {service: 't'}, isSame: false},
	];
	for (const {title, change, isSame} of cases) {
		it(title, () => {
			expect(createFingerprint({...parts, ...change}) === createFingerprint(parts)).to.equal(isSame);
		});
	}
});
