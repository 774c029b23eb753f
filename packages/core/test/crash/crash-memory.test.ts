import {expect} from 'chai';
import fc from 'fast-check';
import {createCrashHistory, createFingerprint, type CrashReport} from '../../src/crash/index.ts';

const seed = 4;
const hourMs = 3_600_000;

const createReport = (instanceId: string, ageMs = 0, fingerprint = 'f'): CrashReport => ({
	service: 's', fingerprint, instanceId, ageMs,
});

describe('memory for crashing requests', () => {
	type Case = {
		readonly title: string;
		readonly reports: ReadonlyArray<readonly [atMs: number, report: CrashReport]>;
		readonly answeredAtMs?: number;
		readonly askedAtMs: number;
		readonly expected: string;
	};
	const cases: readonly Case[] = [
		{
			title: 'lets an unknown request run on its homes', reports: [], askedAtMs: 0, expected: 'homes',
		},
		{
			title: 'lets a request with a recent answer run anywhere', reports: [], answeredAtMs: 0, askedAtMs: 9999, expected: 'anywhere',
		},
		{
			title: 'forgets an answer after ten seconds', reports: [], answeredAtMs: 0, askedAtMs: 10_000, expected: 'homes',
		},
		{
			title: 'lets a request in flight at one crash run alone', reports: [[0, createReport('a')]], askedAtMs: 1, expected: 'alone',
		},
		{
			title: 'refuses a request in flight at crashes of two instances', reports: [[0, createReport('a')], [5, createReport('b')]], askedAtMs: 6, expected: 'refused',
		},
		{
			title: 'counts one crash once, however often and late it is told',
			reports: [[0, createReport('a')], [5, createReport('a', 4)], [1000, createReport('a', 999)]],
			askedAtMs: 1001,
			expected: 'alone',
		},
		{
			title: 'counts a second crash of an instance that came back', reports: [[0, createReport('a')], [3000, createReport('a')]], askedAtMs: 3001, expected: 'refused',
		},
		{
			title: 'clears a request that was answered since', reports: [[0, createReport('a')]], answeredAtMs: 10, askedAtMs: 11, expected: 'anywhere',
		},
		{
			title: 'ignores a late report of a crash before the last answer', reports: [[20, createReport('a', 15)]], answeredAtMs: 10, askedAtMs: 21, expected: 'anywhere',
		},
		{
			title: 'forgets a crash an hour after the last sign of its request', reports: [[0, createReport('a')], [5, createReport('b')]], askedAtMs: hourMs + 5, expected: 'homes',
		},
	];
	for (const {title, reports, answeredAtMs, askedAtMs, expected} of cases) {
		it(title, () => {
			const memory = createCrashHistory();
			if (answeredAtMs !== undefined && !reports.some(([atMs]) => atMs < answeredAtMs)) {
				memory.recordAnswer('f', answeredAtMs);
			}

			for (const [atMs, report] of reports) {
				memory.record(report, atMs);
			}

			if (answeredAtMs !== undefined && reports.some(([atMs]) => atMs < answeredAtMs)) {
				memory.recordAnswer('f', answeredAtMs);
			}

			expect(memory.placementOf('f', askedAtMs).type).to.equal(expected);
		});
	}

	it('stays suspicious for as long as the request is sent', () => {
		const memory = createCrashHistory();
		memory.record(createReport('a'), 0);
		memory.record(createReport('b'), 0);
		for (let nowMs = 0; nowMs < 10 * hourMs; nowMs += hourMs - 1) {
			expect(memory.placementOf('f', nowMs).type).to.equal('refused');
		}
	});

	it('takes back a crash of an instance that lives', () => {
		const memory = createCrashHistory();
		memory.record(createReport('a'), 0);
		memory.record(createReport('b'), 0);
		memory.withdraw('f', 'b');
		expect(memory.placementOf('f', 1)).to.deep.equal({type: 'alone', exceptIds: ['a']});
	});

	it('comes to the same answer whatever the order and repetition of reports', () => {
		const reports = fc.array(fc.record({instance: fc.nat(3), fingerprint: fc.nat(3)}), {maxLength: 12});
		fc.assert(fc.property(reports, fc.array(fc.nat(), {minLength: 24, maxLength: 24}), (told, ranks) => {
			const first = createCrashHistory();
			const second = createCrashHistory();
			const asReport = ({instance, fingerprint}: {readonly instance: number; readonly fingerprint: number}) =>
				createReport(`instance-${instance}`, 0, `f${fingerprint}`);
			for (const item of told) {
				first.record(asReport(item), 0);
			}

			const shuffled = [...told, ...told].map((item, index) => ({item, rank: ranks[index] ?? 0})).toSorted((left, right) => left.rank - right.rank);
			for (const {item} of shuffled) {
				second.record(asReport(item), 0);
			}

			for (const fingerprint of ['f0', 'f1', 'f2', 'f3']) {
				expect(second.placementOf(fingerprint, 1).type).to.equal(first.placementOf(fingerprint, 1).type);
			}
		}), {seed});
	});

	it('is bounded in size', () => {
		const memory = createCrashHistory();
		for (let index = 0; index < 50_000; index++) {
			memory.record(createReport('a', 0, `one-${index}`), 0);
			memory.record(createReport('a', 0, `two-${index}`), 0);
			memory.record(createReport('b', 0, `two-${index}`), 0);
			memory.recordAnswer(`answered-${index}`, 0);
		}

		expect(memory.size()).to.be.at.most(4096 + 4096 + 8192);
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
