/** Open-loop load generator: requests arrive on a seeded schedule; latency is measured from the scheduled send time. */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {createRandom, type Random} from '@egretwing/core';
import type {LatencyQuantiles, LoadPlan, LoadResult} from './types.ts';

const microsPerMs = 1000;
const msPerSecond = 1000;
const maxLatencyMicros = 60_000_000;
const maxLagP99Ms = 5;
const tickMs = 1;
const failureStatusCode = 400;

const createHistogram = (): Histogram => build({
	lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyMicros, numberOfSignificantValueDigits: 3,
});

const recordMs = (histogram: Histogram, durationMs: number): void => {
	histogram.recordValue(Math.max(1, Math.min(maxLatencyMicros, Math.round(durationMs * microsPerMs))));
};

const toQuantiles = (histogram: Histogram): LatencyQuantiles => ({
	p50Ms: histogram.getValueAtPercentile(50) / microsPerMs,
	p90Ms: histogram.getValueAtPercentile(90) / microsPerMs,
	p99Ms: histogram.getValueAtPercentile(99) / microsPerMs,
	maxMs: histogram.maxValue / microsPerMs,
});

/** Draws the time to the next arrival of a Poisson process. */
const nextGapMs = (random: Random, ratePerSecond: number): number =>
	-Math.log(1 - random.next()) * msPerSecond / ratePerSecond;

/** Runs one phase; resolves once every request has been answered or has timed out. */
export const runLoad = async (plan: LoadPlan): Promise<LoadResult> => {
	const random = createRandom(plan.seed);
	const latency = createHistogram();
	const lag = createHistogram();
	const failures: Record<string, number> = {};
	const dispatcher = new Agent({connections: 512, pipelining: 1});
	const pending = new Set<Promise<void>>();
	const startMs = performance.now();
	const recordFromMs = startMs + plan.warmUpMs;
	const endMs = recordFromMs + plan.durationMs;
	let sent = 0;
	let answered = 0;

	const send = async (dueMs: number, index: number): Promise<void> => {
		const recorded = dueMs >= recordFromMs;
		if (recorded) {
			sent++;
			recordMs(lag, performance.now() - dueMs);
		}

		let failure: string | undefined;
		try {
			const answer = await request(plan.targets[index % plan.targets.length] + plan.path, {
				dispatcher,
				method: plan.method,
				headers: {'egretwing-workspace': `workspace-${index % plan.workspaces}`, 'x-work-id': `${plan.seed}-${index}`},
				signal: AbortSignal.timeout(plan.timeoutMs),
			});
			await answer.body.dump();
			failure = answer.statusCode < failureStatusCode ? undefined : String(answer.headers['egretwing-kind'] ?? answer.statusCode);
		} catch (error) {
			failure = (error as {readonly code?: string}).code?.toString() ?? 'failed';
		}

		if (!recorded) {
			return;
		}

		if (failure === undefined) {
			answered++;
			recordMs(latency, performance.now() - dueMs);
		} else {
			failures[failure] = (failures[failure] ?? 0) + 1;
		}
	};

	let dueMs = startMs;
	let index = 0;
	while (dueMs < endMs) {
		while (dueMs <= performance.now() && dueMs < endMs) {
			const sending = send(dueMs, index++);
			pending.add(sending);
			void sending.finally(() => pending.delete(sending));
			dueMs += nextGapMs(random, plan.ratePerSecond);
		}

		await delay(tickMs);
	}

	await Promise.all(pending);
	await dispatcher.close();
	const lagP99Ms = toQuantiles(lag).p99Ms;
	return {
		...toQuantiles(latency), sent, answered, failures, lagP99Ms, generatorBehind: lagP99Ms > maxLagP99Ms,
	};
};
