/** The side-by-side experiment: faults one after another, with healthy noise between, for each user's dial. */

import {detectionBound, failureShares} from '../../src/health/likelihood.ts';
import {
	createFleetPolicy, createNaivePolicy, runModel, type Behaviour, type ModelConfig, type ModelPolicy, type ModelResult,
} from './health-model.ts';

const msPerSecond = 1000;
const msPerHour = 3_600_000;
const healthy: Behaviour = {failureShare: 0.01, stallShare: 0, latencyMs: 20};
/** An error of the callers' own making, or a short slowdown, at every instance alike. */
const disturbed: Behaviour = {failureShare: 0.05, stallShare: 0, latencyMs: 200};

export type FaultKind = 'stall' | 'errors' | 'half';

const faults: Readonly<Record<FaultKind, Behaviour>> = {
	stall: {failureShare: 0, stallShare: 1, latencyMs: 20},
	errors: {failureShare: 1, stallShare: 0, latencyMs: 5},
	half: {failureShare: 0.5, stallShare: 0, latencyMs: 20},
};

/** The setting of one user. */
export type Dial = {
	readonly name: string;
	readonly instanceCount: number;
	readonly falseEjectionsPerInstanceDay: number;
	readonly requestsPerSecond: number;
	readonly idempotentShare: number;
};

export const dials: readonly Dial[] = [
	{
		name: 'chorale', instanceCount: 20, falseEjectionsPerInstanceDay: 0.001, requestsPerSecond: 200, idempotentShare: 0.5,
	},
	{
		name: 'dhaar', instanceCount: 18, falseEjectionsPerInstanceDay: 1, requestsPerSecond: 180, idempotentShare: 0.5,
	},
];

/** Figures of one way over some seeds. */
export type Figures = {
	readonly name: string;
	readonly firstP50Ms: number;
	readonly firstP99Ms: number;
	readonly allMeanMs: number;
	readonly allP50Ms: number;
	readonly allP99Ms: number;
	readonly missed: number;
	readonly falsePerInstanceHour: number;
	readonly instanceHours: number;
	readonly lost: number;
	/** Time that the CUSUM bound allows at this rate, the stall threshold not counted. */
	readonly boundMs: number;
};

export const entryCount = 6;
export const stallThresholdMs = 1000;
const faultMs = 60 * msPerSecond;
const cycleMs = 150 * msPerSecond;
const warmUpMs = 60 * msPerSecond;
const disturbanceMs = 5 * msPerSecond;

/** A run with a fault in every cycle, a different instance each time, and a disturbance of all between them. */
export const faultRun = (dial: Dial, kind: FaultKind, seed: number, cycles: number): ModelConfig => {
	const onsets = Array.from({length: cycles}, (_, cycle) => ({
		instance: (cycle * 7) % dial.instanceCount,
		atMs: warmUpMs + (cycle * cycleMs),
		untilMs: warmUpMs + (cycle * cycleMs) + faultMs,
	}));
	const isFaulty = (instance: number, nowMs: number): boolean => onsets.some(onset => onset.instance === instance && nowMs >= onset.atMs && nowMs < onset.untilMs);
	return {
		...dial,
		seed,
		entryCount,
		floorShare: 0.5,
		stallThresholdMs,
		durationMs: warmUpMs + (cycles * cycleMs),
		onsets,
		isFaulty,
		behaviour(instance, _entry, nowMs) {
			if (isFaulty(instance, nowMs)) {
				return faults[kind];
			}

			const inCycleMs = (nowMs - warmUpMs + cycleMs) % cycleMs;
			return inCycleMs >= faultMs * 1.75 && inCycleMs < (faultMs * 1.75) + disturbanceMs ? disturbed : healthy;
		},
	};
};

const percentile = (values: readonly number[], share: number): number =>
	values.toSorted((a, b) => a - b)[Math.min(values.length - 1, Math.floor(share * values.length))] ?? Number.NaN;

const summarize = (name: string, dial: Dial, results: readonly ModelResult[], durationMs: number): Figures => {
	const detections = results.flatMap(result => result.detections);
	const first = detections.map(({firstMs}) => firstMs ?? faultMs);
	const all = detections.map(({allMs}) => allMs ?? faultMs);
	const mean = (pick: (result: ModelResult) => number): number => results.reduce((sum, result) => sum + pick(result), 0) / results.length;
	const observationsPerSecond = mean(result => result.observationsPerSecond);
	const bound = detectionBound(dial.falseEjectionsPerInstanceDay, observationsPerSecond, failureShares(healthy.failureShare));
	return {
		name,
		firstP50Ms: percentile(first, 0.5),
		firstP99Ms: percentile(first, 0.99),
		allMeanMs: all.reduce((sum, value) => sum + value, 0) / all.length,
		allP50Ms: percentile(all, 0.5),
		allP99Ms: percentile(all, 0.99),
		missed: detections.filter(({allMs}) => allMs === undefined).length,
		instanceHours: results.length * dial.instanceCount * durationMs / msPerHour,
		falsePerInstanceHour: mean(result => result.falseEjectionsPerInstanceHour),
		lost: results.reduce((sum, result) => sum + result.lost, 0),
		boundMs: bound / observationsPerSecond * msPerSecond,
	};
};

/** Ours, and the naive version with several settings. */
export const ways: ReadonlyArray<{readonly name: string; readonly create: (config: ModelConfig, entry: number) => ModelPolicy}> = [
	{name: 'egretwing', create: createFleetPolicy},
	{name: 'naive 3', create: config => createNaivePolicy(config, 3)},
	{name: 'naive 5', create: config => createNaivePolicy(config, 5)},
];

/** Runs ours and the naive version with several settings over the same seeded runs. */
export const compare = (dial: Dial, kind: FaultKind, seeds: readonly number[], cycles: number): readonly Figures[] =>
	ways.map(({name, create}) =>
		summarize(name, dial, seeds.map(seed => runModel(faultRun(dial, kind, seed, cycles), create)), faultRun(dial, kind, 0, cycles).durationMs));
