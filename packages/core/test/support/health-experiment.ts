/** Compares ejection policies over successive faults, with service-wide disturbances in between, for several fleet profiles. */

import {detectionBound, failureShares} from '../../src/health/likelihood.ts';
import {
	createFleetPolicy, createNaivePolicy, runModel, type Behaviour, type ModelConfig, type ModelPolicy, type ModelResult,
} from './health-model.ts';

const msPerSecond = 1000;
const msPerHour = 3_600_000;
const healthy: Behaviour = {failureShare: 0.01, stallShare: 0, latencyMs: 20};
/** Errors caused by the callers, or a short slowdown, equally at every instance. */
const disturbed: Behaviour = {failureShare: 0.05, stallShare: 0, latencyMs: 200};

export type FaultKind = 'stall' | 'errors' | 'half';

const faults: Readonly<Record<FaultKind, Behaviour>> = {
	stall: {failureShare: 0, stallShare: 1, latencyMs: 20},
	errors: {failureShare: 1, stallShare: 0, latencyMs: 5},
	half: {failureShare: 0.5, stallShare: 0, latencyMs: 20},
};

/** Fleet size, load and settings of one user. */
export type FleetProfile = {
	readonly name: string;
	readonly instanceCount: number;
	readonly falseEjectionsPerInstanceDay: number;
	readonly requestsPerSecond: number;
	readonly idempotentShare: number;
};

export const fleetProfiles: readonly FleetProfile[] = [
	{
		name: 'chorale', instanceCount: 20, falseEjectionsPerInstanceDay: 0.001, requestsPerSecond: 200, idempotentShare: 0.5,
	},
	{
		name: 'dhaar', instanceCount: 18, falseEjectionsPerInstanceDay: 1, requestsPerSecond: 180, idempotentShare: 0.5,
	},
];

/** Results of one policy over several seeds. */
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
	readonly requestsLost: number;
	/** Detection time given by the CUSUM bound at this rate, without the stall threshold. */
	readonly boundMs: number;
};

export const entryCount = 6;
export const stallThresholdMs = 1000;
const faultMs = 60 * msPerSecond;
const cycleMs = 150 * msPerSecond;
const warmUpMs = 60 * msPerSecond;
const disturbanceMs = 5 * msPerSecond;

/** A run with a fault of a different instance in every cycle, and a service-wide disturbance between the faults. */
export const faultRun = (profile: FleetProfile, kind: FaultKind, seed: number, cycles: number): ModelConfig => {
	const onsets = Array.from({length: cycles}, (_, cycle) => ({
		instance: (cycle * 7) % profile.instanceCount,
		atMs: warmUpMs + (cycle * cycleMs),
		untilMs: warmUpMs + (cycle * cycleMs) + faultMs,
	}));
	const isFaulty = (instance: number, nowMs: number): boolean => onsets.some(onset => onset.instance === instance && nowMs >= onset.atMs && nowMs < onset.untilMs);
	return {
		...profile,
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

const summarize = (name: string, profile: FleetProfile, results: readonly ModelResult[], durationMs: number): Figures => {
	const detections = results.flatMap(result => result.detections);
	const firstEntryMs = detections.map(({firstMs}) => firstMs ?? faultMs);
	const allEntriesMs = detections.map(({allMs}) => allMs ?? faultMs);
	const mean = (pick: (result: ModelResult) => number): number => results.reduce((sum, result) => sum + pick(result), 0) / results.length;
	const observationsPerSecond = mean(result => result.observationsPerSecond);
	const bound = detectionBound(profile.falseEjectionsPerInstanceDay, observationsPerSecond, failureShares(healthy.failureShare));
	return {
		name,
		firstP50Ms: percentile(firstEntryMs, 0.5),
		firstP99Ms: percentile(firstEntryMs, 0.99),
		allMeanMs: allEntriesMs.reduce((sum, value) => sum + value, 0) / allEntriesMs.length,
		allP50Ms: percentile(allEntriesMs, 0.5),
		allP99Ms: percentile(allEntriesMs, 0.99),
		missed: detections.filter(({allMs}) => allMs === undefined).length,
		instanceHours: results.length * profile.instanceCount * durationMs / msPerHour,
		falsePerInstanceHour: mean(result => result.falseEjectionsPerInstanceHour),
		requestsLost: results.reduce((sum, result) => sum + result.requestsLost, 0),
		boundMs: bound / observationsPerSecond * msPerSecond,
	};
};

/** The fleet's policy, and the naive one with several settings. */
export const policies: ReadonlyArray<{readonly name: string; readonly create: (config: ModelConfig, entry: number) => ModelPolicy}> = [
	{name: 'egretwing', create: createFleetPolicy},
	{name: 'naive 3', create: config => createNaivePolicy(config, 3)},
	{name: 'naive 5', create: config => createNaivePolicy(config, 5)},
];

/** Runs every policy over the same seeded runs. */
export const comparePolicies = (profile: FleetProfile, kind: FaultKind, seeds: readonly number[], cycles: number): readonly Figures[] =>
	policies.map(({name, create}) =>
		summarize(name, profile, seeds.map(seed => runModel(faultRun(profile, kind, seed, cycles), create)), faultRun(profile, kind, 0, cycles).durationMs));
