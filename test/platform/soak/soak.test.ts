import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createRandom} from '@egretwing/core';
import {catchesHangup} from '../support/signal-handlers.ts';
import type {Call, CallEnd} from './callers.ts';
import {checkListening, isListening} from './ends.ts';
import {buildGateway, gatewayPorts, startGateways} from './gateways.ts';
import type {Run} from './instances.ts';
import {checkNotices, type NoticeRecords, type SaidNotice} from './notices.ts';
import {drawSchedule, leastSignalAgeMs} from './schedule.ts';
import {
	checkRecovery, checkRemovals, checkLostAnswers, checkRuns, runSoak,
} from './soak.ts';

/** Second part of the loopback addresses, distinct from those of manual runs and of other tests. */
const networkPart = 20 + (process.pid % 25);

const size = {
	gateways: 3, instances: 5, durationMs: 9000, calmMs: 5000,
};

/** Seeds of the regular runs. A seed that has failed is added with its cause. */
const seeds: ReadonlyArray<readonly [seed: number, why: string]> = [
	[1, 'first schedule'],
	[2, 'second schedule'],
];

const call = (end: CallEnd, kind: Call['kind'] = 'write'): Call => ({
	requestId: 'r1', kind, path: '/write/x', gateway: 'g', sentAtMs: 10, endedAtMs: 20, end,
});
const run = (instanceId: string, flaw = ''): Run => ({
	requestId: 'r1', instanceId, atMs: 15, flaw,
});
const answered = (statusCode: number, flaw = ''): CallEnd => ({type: 'answered', statusCode, flaw});

describe('soak of the gateway', function () {
	this.timeout(60_000);

	for (const [seed, why] of seeds) {
		it(`shows no flaw under seed ${seed}: ${why}`, async () => {
			const file = await buildGateway();
			const {flaws, served} = await runSoak({
				...size, seed, file, network: `127.${networkPart}.${seed % 250}`, requestsPerSecond: 30,
			});
			expect(flaws).to.deep.equal([]);
			expect(served).to.be.above(0);
		});
	}

	it('shows no flaw under seed 3 with faults that may end a process', async () => {
		const {flaws, served} = await runSoak({
			...size, ends: true, seed: 3, file: await buildGateway(), network: `127.${networkPart}.3`, requestsPerSecond: 30,
		});
		expect(flaws).to.deep.equal([]);
		expect(served).to.be.above(0);
	});

	it('shows no flaw under seed 4 with a store that comes back from older copies', async () => {
		const {flaws, served, steps} = await runSoak({
			...size, eras: true, seed: 4, file: await buildGateway(), network: `127.${networkPart}.4`, requestsPerSecond: 30,
		});
		expect(steps.some(({action}) => action.type === 'store-copy')).to.equal(true);
		expect(flaws).to.deep.equal([]);
		expect(served).to.be.above(0);
	});

	// An instance that had left was in use again from a gateway that stood still while the others were killed.
	it('shows no flaw under seed 76104 with instances that leave without a word while gateways stand still and are killed', async () => {
		const {flaws, served, steps} = await runSoak({
			gateways: 4, instances: 6, durationMs: 12_000, calmMs: 5000, removals: true, seed: 76_104, file: await buildGateway(), network: `127.${networkPart}.5`, requestsPerSecond: 40,
		});
		expect(steps.some(({action}) => action.type === 'unregister')).to.equal(true);
		expect(flaws).to.deep.equal([]);
		expect(served).to.be.above(0);
	});

	const ends: ReadonlyArray<readonly [title: string, program: string, memoryMegabytes: number, flaw: RegExp]> = [
		[
			'its exit code, age, peak of memory and last line',
			'setTimeout(() => { throw new TypeError("odd"); }, 300)',
			350,
			/^gateway-0 ended with 1 after \d{3,4} ms, peak [1-9]\d* MB, last line: TypeError: odd$/v,
		],
		[
			'its signal',
			'console.log("first"); setTimeout(() => process.kill(process.pid, "SIGHUP"), 300)',
			350,
			/^gateway-0 ended with SIGHUP after \d{3,4} ms, peak [1-9]\d* MB, last line: first$/v,
		],
		[
			'memory over the limit',
			'console.log("first"); setTimeout(() => undefined, 2000)',
			10,
			/^gateway-0 was killed for its memory after \d+ ms, peak [1-9]\d* MB, last line: (?:first)?$/v,
		],
	];
	for (const [title, program, memoryMegabytes, flaw] of ends) {
		it(`tells of a process that ended by itself: ${title}`, async () => {
			const folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-ends-'));
			const file = path.join(folder, 'program.cjs');
			writeFileSync(file, program);
			const gateways = startGateways({
				file, addresses: [`127.${networkPart}.252.1`], dataCentreOf: () => 'dc-1', storeAddress: `127.${networkPart}.252.100`, memoryMegabytes,
			});
			try {
				while (gateways.startCount(0) < 2) {
					await delay(10);
				}

				// A signal to a process that has ended excuses nothing.
				gateways.signal(0, 'SIGKILL');
				expect(gateways.unexpectedExits()[0]).to.match(flaw);
			} finally {
				await gateways.stop();
				rmSync(folder, {recursive: true, force: true});
			}
		});
	}

	// Under the seeds 100, 101, 120 and 125 of manual runs, SIGHUP ended a process that was still starting.
	it('does not end a starting process by SIGHUP before it listens', async () => {
		const address = `127.${networkPart}.251.1`;
		const gateways = startGateways({
			file: await buildGateway(), addresses: [address], dataCentreOf: () => 'dc-1', storeAddress: `127.${networkPart}.251.100`,
		});
		try {
			while (!catchesHangup(gateways.pid(0)!)) {
				await delay(1);
			}

			gateways.signal(0, 'SIGHUP');
			expect(await isListening(address, gatewayPorts.front)).to.equal(false);
			await delay(1000);
			expect([gateways.unexpectedExits(), gateways.startCount(0)]).to.deep.equal([[], 1]);
		} finally {
			await gateways.stop();
		}
	});

	it('draws the same steps for the same seed, and ends every fault before the calm period', () => {
		const draw = () => drawSchedule(createRandom(7), size);
		expect(draw()).to.deep.equal(draw());
		expect(draw().every(({atMs}) => atMs <= size.durationMs - size.calmMs)).to.equal(true);
	});

	it('draws faults that may end a process only if they are asked for, each kind within some seeds, and none below the age at which SIGHUP can be handled', () => {
		const kinds = new Set(['odd-requests', 'early-signal', 'hold-port', 'uploads', 'settings']);
		const draw = (ends: boolean) => Array.from({length: 20}, (_, seed) => drawSchedule(createRandom(seed), {...size, ends}).map(({action}) => action)).flat();
		const drawn = draw(true);
		expect(draw(false).some(({type}) => kinds.has(type))).to.equal(false);
		expect(new Set(drawn.map(({type}) => type))).to.include.all.keys([...kinds]);
		expect(drawn.every(action => action.type !== 'early-signal' || action.agesMs.every(ageMs => ageMs >= leastSignalAgeMs))).to.equal(true);
	});

	it('draws a store that comes back from an older copy only if it is asked for, within some seeds', () => {
		const draw = (eras: boolean) => Array.from({length: 20}, (_, seed) => drawSchedule(createRandom(seed), {...size, eras}).map(({action}) => action.type)).flat();
		expect([draw(false).includes('store-copy'), draw(true).includes('store-copy')]).to.deep.equal([false, true]);
	});

	it('draws instances that leave without a word only if they are asked for, within some seeds', () => {
		const draw = (removals: boolean) => Array.from({length: 20}, (_, seed) => drawSchedule(createRandom(seed), {...size, removals}).map(({action}) => action.type)).flat();
		expect([draw(false).includes('unregister'), draw(true).includes('unregister')]).to.deep.equal([false, true]);
	});

	const removalCases: ReadonlyArray<readonly [title: string, sentAtMs: number, instanceId: string, flaws: number]> = [
		['reports a request that reached an instance without an entry', 1000, 'i-1-0', 1],
		['accepts one that was sent before gateways are held to the removal', 999, 'i-1-0', 0],
		['accepts one that reached another instance', 1000, 'i-2-0', 0],
	];
	for (const [title, sentAtMs, instanceId, flaws] of removalCases) {
		it(title, () => {
			const arrivals = [{requestId: 'r1', instanceId, atMs: 2000}];
			expect(checkRemovals([{...call(answered(200)), sentAtMs}], arrivals, new Set(['i-1-0']), 1000)).to.have.length(flaws);
		});
	}

	it('reports each port that no gateway listens on at the end', async () => {
		expect(await checkListening([`127.${networkPart}.253.1`])).to.have.length(5);
	});

	const cases: ReadonlyArray<{readonly title: string; readonly calls: readonly Call[]; readonly runs: readonly Run[]; readonly flaws: number}> = [
		{
			title: 'accepts a write that ran once and was answered', calls: [call(answered(200))], runs: [run('i1')], flaws: 0,
		},
		{
			title: 'reports a write that ran twice', calls: [call(answered(200))], runs: [run('i1'), run('i2')], flaws: 1,
		},
		{
			title: 'accepts a read that ran twice', calls: [call(answered(200), 'read')], runs: [run('i1'), run('i2')], flaws: 0,
		},
		{
			title: 'reports a write that was refused as not run but ran', calls: [call(answered(503))], runs: [run('i1')], flaws: 1,
		},
		{
			title: 'accepts a write with unknown outcome that ran', calls: [call(answered(502))], runs: [run('i1')], flaws: 0,
		},
		{
			title: 'reports an answer to another request', calls: [call(answered(200, 'got r2'))], runs: [run('i1')], flaws: 1,
		},
		{
			title: 'reports a body that was changed in transit', calls: [call(answered(200))], runs: [run('i1', 'another body')], flaws: 1,
		},
	];
	for (const {title, calls, runs, flaws} of cases) {
		it(title, () => {
			expect(checkRuns(calls, runs)).to.have.length(flaws);
		});
	}

	it('reports a write that ran and whose connection a gateway closed without an answer, unless the gateway was killed', () => {
		const calls = [call({type: 'closed', detail: 'socket hang up'})];
		expect(checkLostAnswers(calls, [run('i1')], new Set())).to.have.length(1);
		expect(checkLostAnswers(calls, [run('i1')], new Set(['g']))).to.have.length(0);
		expect(checkLostAnswers(calls, [], new Set())).to.have.length(0);
	});

	const notice = (changes: Partial<SaidNotice> = {}): SaidNotice => ({
		requestId: 'r1', instanceId: 'i-0-0', atMs: 15, isLeaving: true, isFinal: true, ...changes,
	});
	const sentAt = (sentAtMs: number, gateway = 'g'): Call => ({
		...call(answered(200), 'read'), requestId: `r${sentAtMs}`, gateway, sentAtMs, endedAtMs: sentAtMs + 10,
	});
	const pause = notice({isLeaving: false, isFinal: false, pauseMs: 2000});
	const noticeCases: ReadonlyArray<{readonly title: string; readonly notice: SaidNotice; readonly later: readonly Call[]; readonly applied?: NoticeRecords['applied']; readonly flaws: number}> = [
		{
			title: 'reports a request at an instance 2.5 s after an answer that says it leaves', notice: notice(), later: [sentAt(2500)], flaws: 1,
		},
		{
			title: 'accepts a request at a leaving instance within two seconds', notice: notice(), later: [sentAt(1900)], flaws: 0,
		},
		{
			title: 'accepts a request of another gateway at a leaving instance', notice: notice(), later: [sentAt(2500, 'other')], flaws: 0,
		},
		{
			title: 'accepts a request at a leaving instance after a restart of the gateway', notice: notice(), later: [sentAt(2500)], applied: [{atMs: 1000, action: {type: 'signal', gateway: 0, signal: 'SIGKILL'}}], flaws: 0,
		},
		{
			title: 'reports three requests in a pause', notice: pause, later: [sentAt(600), sentAt(900), sentAt(1500)], flaws: 1,
		},
		{
			title: 'accepts two requests in a pause, and more just after its begin and after its end', notice: pause, later: [sentAt(100), sentAt(600), sentAt(900), sentAt(2100)], flaws: 0,
		},
		{
			title: 'accepts requests in a pause whose answer the link kept from the gateway',
			notice: pause,
			later: [sentAt(600), sentAt(900), sentAt(1500)],
			applied: [{atMs: 1, action: {type: 'instance-link', instance: 0, fault: {type: 'silence', direction: 'answers'}}}],
			flaws: 0,
		},
	];
	for (const {title, notice: said, later, applied = [], flaws} of noticeCases) {
		it(title, () => {
			const arrivals = later.map(({requestId, sentAtMs}) => ({requestId, instanceId: 'i-0-0', atMs: sentAtMs + 1}));
			expect(checkNotices([call(answered(200)), ...later], {
				arrivals, notices: [said], applied, addresses: ['g', 'other'],
			})).to.have.length(flaws);
		});
	}

	it('reports requests that are not served after the faults have ended', () => {
		expect(checkRecovery([call(answered(503))], 5)).to.have.length(1);
		expect(checkRecovery([call(answered(503))], 15)).to.have.length(0);
		expect(checkRecovery([call(answered(200))], 5)).to.have.length(0);
	});
});
