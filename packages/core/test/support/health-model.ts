/** A model of instances and entries on a manual clock, to compare ejection policies over the same seeded runs. */

import {createNaiveHealth} from '../../src/naive/health.ts';
import {createServiceHealth, type ServiceHealth} from '../../src/health/service-health.ts';
import {createManualClock} from '../../src/clock.ts';
import {createRandom, type Random} from '../../src/random.ts';
import type {Instance} from '../../src/platform/types.ts';
import type {EvidenceReport} from '../../src/health/types.ts';

export const tickMs = 10;
const healthTickMs = 100;
const msPerSecond = 1000;
const msPerHour = 3_600_000;
const exchangeDelayMs = 10;
const measureIntervalMs = 20;

/** How an instance handles the requests of an entry at a given time. */
export type Behaviour = {
	/** Share of requests that fail without stalling. */
	readonly failureShare: number;
	/** Share of requests that never receive an answer. */
	readonly stallShare: number;
	/** Mean latency of an answer. */
	readonly latencyMs: number;
};

/** Configuration of one run. */
export type ModelConfig = {
	readonly seed: number;
	readonly entryCount: number;
	readonly instanceCount: number;
	readonly requestsPerSecond: number;
	readonly idempotentShare: number;
	readonly floorShare: number;
	readonly falseEjectionsPerInstanceDay: number;
	readonly stallThresholdMs: number;
	readonly durationMs: number;
	readonly behaviour: (instance: number, entry: number, nowMs: number) => Behaviour;
	/** True if the instance is failing for every entry at this time. */
	readonly isFaulty: (instance: number, nowMs: number) => boolean;
	/** Start of each fault whose detection is measured. */
	readonly onsets: ReadonlyArray<{readonly instance: number; readonly atMs: number; readonly untilMs: number}>;
	/** True if reports from one entry are delivered to another at this time. */
	readonly isDelivered?: (from: number, to: number, nowMs: number) => boolean;
	readonly isPaused?: (entry: number, nowMs: number) => boolean;
};

/** How an entry of the model chooses instances and records outcomes. */
export type ModelPolicy = {
	readonly choose: (isIdempotent: boolean, random: Random, nowMs: number) => number;
	readonly begin: (instance: number, nowMs: number) => (succeeded: boolean, latencyMs: number, nowMs: number) => void;
	/** True if new requests go to other instances. */
	readonly isOutOfUse: (instance: number, nowMs: number) => boolean;
	readonly tick: (nowMs: number) => void;
	readonly health?: ServiceHealth;
};

/** Results of a run. */
export type ModelResult = {
	/** For each onset: time until the first entry, and until all entries, stopped sending new requests; undefined if never. */
	readonly detections: ReadonlyArray<{readonly firstMs: number | undefined; readonly allMs: number | undefined}>;
	/** Healthy instances that an entry took out of use, with the time. */
	readonly falseEjections: ReadonlyArray<{readonly entry: number; readonly instance: number; readonly atMs: number}>;
	/** Times that an entry took a healthy instance out of use, per instance-hour and entry. */
	readonly falseEjectionsPerInstanceHour: number;
	/** Requests lost at faulty instances. */
	readonly requestsLost: number;
	readonly requests: number;
	/** Mean observations per second and instance. */
	readonly observationsPerSecond: number;
};

const maxInstances = 64;
const instanceIds: readonly string[] = Array.from({length: maxInstances}, (_, index) => `i${index}`);
const instanceId = (index: number): string => instanceIds[index]!;

export const modelInstances = (count: number): readonly Instance[] => Array.from({length: count}, (_, index) => ({
	role: 'backend', hostId: instanceId(index), service: 'svc', address: '127.0.0.1', port: 1 + index, region: 'r', dataCentre: 'a', state: 'live',
}));

/** Creates the fleet's policy for one entry. */
export const createFleetPolicy = (config: ModelConfig, entry: number): ModelPolicy => {
	const health = createServiceHealth({
		service: 'svc',
		entryId: `e${entry}`,
		incarnation: 1,
		rules: config,
	}, 0);
	health.setInstances(modelInstances(config.instanceCount), 1, 0);
	const indexes = Array.from({length: config.instanceCount}, (_, index) => index);
	const kindOf = (instance: number): string | undefined => health.standing(instanceId(instance))?.kind;
	return {
		health,
		choose(isIdempotent, random, nowMs) {
			const trial = isIdempotent ? health.nextTrial(nowMs) : undefined;
			if (trial !== undefined) {
				return Number(trial.slice(1));
			}

			const used = indexes.filter(index => kindOf(index) === 'use');
			const usable = used.length > 0 ? used : indexes.filter(index => kindOf(index) === 'spared');
			for (;;) {
				const index = usable[Math.floor(random.next() * usable.length)]!;
				const standing = health.standing(instanceId(index))!;
				if (standing.kind !== 'use' || random.next() < standing.weight) {
					return index;
				}
			}
		},
		begin(instance, nowMs) {
			const attempt = health.begin(instanceId(instance), nowMs);
			return (succeeded, latencyMs, atMs) => {
				attempt.finish(succeeded ? {kind: 'succeeded', latencyMs} : {kind: 'failed', startedAtMs: nowMs}, atMs);
			};
		},
		isOutOfUse: instance => kindOf(instance) !== 'use',
		tick: health.tick,
	};
};

/** Creates the naive policy for one entry. */
export const createNaivePolicy = (config: ModelConfig, consecutiveFailures: number): ModelPolicy => {
	const health = createNaiveHealth({consecutiveFailures});
	const indexes = Array.from({length: config.instanceCount}, (_, index) => index);
	return {
		choose(_isIdempotent, random, nowMs) {
			const usable = indexes.filter(index => !health.isEjected(instanceId(index), nowMs));
			const from = usable.length > 0 ? usable : indexes;
			return from[Math.floor(random.next() * from.length)]!;
		},
		begin: instance => (succeeded, _latencyMs, atMs) => {
			health.observe(instanceId(instance), succeeded, atMs);
		},
		isOutOfUse: (instance, nowMs) => health.isEjected(instanceId(instance), nowMs),
		tick: () => undefined,
	};
};

const exponential = (mean: number, random: Random): number => -mean * Math.log(1 - random.next());

/** Runs the model. `onTick` is called with every entry after each step of `tickMs`. */
export const runModel = (
	config: ModelConfig,
	createPolicy: (config: ModelConfig, entry: number) => ModelPolicy,
	onTick?: (policies: readonly ModelPolicy[], nowMs: number) => void,
): ModelResult => {
	const random = createRandom(config.seed);
	const clock = createManualClock();
	const entries = Array.from({length: config.entryCount}, (_, entry) => createPolicy(config, entry));
	const scheduled = new Map<number, Array<() => void>>();
	const detections = config.onsets.map((): {firstMs: number | undefined; allMs: number | undefined} => ({firstMs: undefined, allMs: undefined}));
	const previouslyOutOfUse = entries.map(() => new Set<number>());
	const falseEjections: Array<{entry: number; instance: number; atMs: number}> = [];
	let requestsLost = 0;
	let requests = 0;

	const schedule = (atMs: number, run: () => void): void => {
		const slot = Math.ceil(atMs / tickMs);
		scheduled.set(slot, [...(scheduled.get(slot) ?? []), run]);
	};

	const send = (entry: number): void => {
		const nowMs = clock.nowMs();
		const policy = entries[entry]!;
		const instance = policy.choose(random.next() < config.idempotentShare, random, nowMs);
		const {failureShare, stallShare, latencyMs: meanMs} = config.behaviour(instance, entry, nowMs);
		const finish = policy.begin(instance, nowMs);
		const isStalled = random.next() < stallShare;
		const succeeded = !isStalled && random.next() >= failureShare;
		const latencyMs = isStalled ? config.stallThresholdMs * 2 : exponential(meanMs, random);
		requests++;
		requestsLost += !succeeded && config.isFaulty(instance, nowMs) ? 1 : 0;
		schedule(nowMs + latencyMs, () => {
			finish(succeeded, latencyMs, clock.nowMs());
		});
	};

	const exchange = (report: EvidenceReport, from: number): void => {
		const nowMs = clock.nowMs();
		for (const [to, {health}] of entries.entries()) {
			if (to !== from && health && (config.isDelivered?.(from, to, nowMs) ?? true)) {
				schedule(nowMs + exchangeDelayMs, () => {
					health.receive(report, clock.nowMs());
				});
			}
		}
	};

	const measure = (): void => {
		const nowMs = clock.nowMs();
		if (nowMs % measureIntervalMs !== 0) {
			return;
		}

		for (const [index, {instance, atMs, untilMs}] of config.onsets.entries()) {
			const detection = detections[index]!;
			if (nowMs < atMs || nowMs > untilMs) {
				continue;
			}

			const outOfUseCount = entries.filter(policy => policy.isOutOfUse(instance, nowMs)).length;
			detection.firstMs ??= outOfUseCount > 0 ? nowMs - atMs : undefined;
			detection.allMs ??= outOfUseCount === entries.length ? nowMs - atMs : undefined;
		}

		for (const [entry, policy] of entries.entries()) {
			for (let instance = 0; instance < config.instanceCount; instance++) {
				const isOutOfUse = policy.isOutOfUse(instance, nowMs);
				const known = previouslyOutOfUse[entry]!;
				if (isOutOfUse && !known.has(instance) && !config.isFaulty(instance, nowMs)) {
					falseEjections.push({entry, instance, atMs: nowMs});
				}

				if (isOutOfUse) {
					known.add(instance);
				} else {
					known.delete(instance);
				}
			}
		}
	};

	const perTick = config.requestsPerSecond * tickMs / msPerSecond;
	let arrivals = 0;
	const step = (): void => {
		const nowMs = clock.nowMs();
		const slot = Math.round(nowMs / tickMs);
		for (const run of scheduled.get(slot) ?? []) {
			run();
		}

		scheduled.delete(slot);
		arrivals += perTick;
		for (let gap = exponential(1, random); gap <= arrivals; gap = exponential(1, random)) {
			arrivals -= gap;
			const entry = Math.floor(random.next() * config.entryCount);
			if (!config.isPaused?.(entry, nowMs)) {
				send(entry);
			}
		}

		for (const [entry, policy] of entries.entries()) {
			if (config.isPaused?.(entry, nowMs)) {
				continue;
			}

			if ((nowMs + (entry * tickMs)) % healthTickMs === 0) {
				policy.tick(nowMs);
			}

			if (policy.health?.isReportDue(nowMs)) {
				exchange(policy.health.report(nowMs), entry);
			}
		}

		measure();
		onTick?.(entries, nowMs);
	};

	while (clock.nowMs() < config.durationMs) {
		step();
		clock.advanceMs(tickMs);
	}

	return {
		detections,
		falseEjections,
		falseEjectionsPerInstanceHour: falseEjections.length / config.entryCount / config.instanceCount * msPerHour / config.durationMs,
		requestsLost,
		requests,
		observationsPerSecond: requests / config.instanceCount * msPerSecond / config.durationMs,
	};
};
