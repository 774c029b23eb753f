import {readFileSync} from 'node:fs';
import net from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createRandom} from '@egretwing/core';
import type {Call, CallEnd} from './callers.ts';
import {buildGateway, gatewayPorts, startGateways} from './gateways.ts';
import type {Run} from './instances.ts';
import {drawSchedule} from './schedule.ts';
import {
	judgeCalm, judgeLost, judgeRuns, runSoak,
} from './soak.ts';

/** Second part of the loopback addresses: apart from those of runs by hand and of other tests. */
const networkPart = 20 + (process.pid % 25);

const size = {
	gateways: 3, instances: 5, durationMs: 9000, calmMs: 5000,
};

/** Seeds that are played on each run; a seed that failed once is added with a line on its cause. */
const seeds: ReadonlyArray<readonly [seed: number, why: string]> = [
	[1, 'a first draw'],
	[2, 'a second draw'],
];

const call = (end: CallEnd, kind: Call['kind'] = 'write'): Call => ({
	requestId: 'r1', kind, path: '/write/x', gateway: 'g', sentAtMs: 10, endedAtMs: 20, end,
});
const run = (instanceId: string, flaw = ''): Run => ({
	requestId: 'r1', instanceId, atMs: 15, flaw,
});
const answered = (statusCode: number, flaw = ''): CallEnd => ({type: 'answered', statusCode, flaw});

/** Whether a process handles SIGHUP, by the mask of caught signals that Linux shows. */
const catchesHangup = (pid: number): boolean => {
	const mask = /^SigCgt:\s*([\da-f]+)$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0';
	return Number.parseInt(mask.at(-1)!, 16) % 2 === 1;
};

const isListening = async (host: string, port: number): Promise<boolean> => new Promise(resolve => {
	const socket = net.connect({host, port});
	socket.once('connect', () => {
		socket.destroy();
		resolve(true);
	});
	socket.once('error', () => {
		resolve(false);
	});
});

describe('soak of the gateway', function () {
	this.timeout(60_000);

	for (const [seed, why] of seeds) {
		it(`holds the promises under seed ${seed}: ${why}`, async () => {
			const file = await buildGateway();
			const {flaws, served} = await runSoak({
				...size, seed, file, network: `127.${networkPart}.${seed % 250}`, requestsPerSecond: 30,
			});
			expect(flaws).to.deep.equal([]);
			expect(served).to.be.above(0);
		});
	}

	it('handles a hangup before a gateway listens (seeds 100, 101, 120 and 125 by hand: the process ended with SIGHUP while it started)', async () => {
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
			expect([gateways.ownEnds(), gateways.lives(0)]).to.deep.equal([[], 1]);
		} finally {
			await gateways.stop();
		}
	});

	it('draws the same steps for the same seed, and ends every fault before the calm end', () => {
		const draw = () => drawSchedule(createRandom(7), size);
		expect(draw()).to.deep.equal(draw());
		expect(draw().every(({atMs}) => atMs <= size.durationMs - size.calmMs)).to.equal(true);
	});

	const cases: ReadonlyArray<{readonly title: string; readonly calls: readonly Call[]; readonly runs: readonly Run[]; readonly flaws: number}> = [
		{
			title: 'passes work that ran once and was answered', calls: [call(answered(200))], runs: [run('i1')], flaws: 0,
		},
		{
			title: 'finds work that ran twice', calls: [call(answered(200))], runs: [run('i1'), run('i2')], flaws: 1,
		},
		{
			title: 'passes a read that ran twice', calls: [call(answered(200), 'read')], runs: [run('i1'), run('i2')], flaws: 0,
		},
		{
			title: 'finds work that was refused as not run and ran', calls: [call(answered(503))], runs: [run('i1')], flaws: 1,
		},
		{
			title: 'passes work of unknown outcome that ran', calls: [call(answered(502))], runs: [run('i1')], flaws: 0,
		},
		{
			title: 'finds an answer to another request', calls: [call(answered(200, 'got r2'))], runs: [run('i1')], flaws: 1,
		},
		{
			title: 'finds a body that was changed on the way', calls: [call(answered(200))], runs: [run('i1', 'another body')], flaws: 1,
		},
	];
	for (const {title, calls, runs, flaws} of cases) {
		it(title, () => {
			expect(judgeRuns(calls, runs)).to.have.length(flaws);
		});
	}

	it('finds work whose connection ended without an answer at a gateway that was not killed', () => {
		const calls = [call({type: 'closed', detail: 'socket hang up'})];
		expect(judgeLost(calls, [run('i1')], new Set())).to.have.length(1);
		expect(judgeLost(calls, [run('i1')], new Set(['g']))).to.have.length(0);
		expect(judgeLost(calls, [], new Set())).to.have.length(0);
	});

	it('finds that requests are not served after the faults', () => {
		expect(judgeCalm([call(answered(503))], 5)).to.have.length(1);
		expect(judgeCalm([call(answered(503))], 15)).to.have.length(0);
		expect(judgeCalm([call(answered(200))], 5)).to.have.length(0);
	});
});
