/** The floor of reached instances, over a replay: which windows it holds in, and how many sound instances got requests in them. */

import type {AttemptResult} from '@egretwing/core';
import type {FleetBehaviour, FleetInstance} from './fleet-instances.ts';

/** Share of the sound instances that have to get requests in any two seconds. */
export const floorShare = 0.7;

const windowMs = 2000;
const windowStepMs = 100;

/** A window counts while a larger share of its requests isn't served than the first, but a smaller one than the second. */
const minUnservedShare = 0.1;
const maxUnservedShare = 0.5;

/** Time after which an instance that failed a request by itself is sound again. */
const soundAfterFailureMs = 2000;

/** Attempts that are shown of an instance that was missed. */
const explainedAttempts = 4;

/** A request of a caller. */
export type AskedRequest = {
	readonly atMs: number;
	readonly isServed: boolean;
};

/** One request at one instance. */
export type LoggedAttempt = {
	readonly gatewayId: string;
	readonly fromMs: number;
	readonly untilMs: number;
	readonly result: AttemptResult;
};

/** What an instance got. */
export type InstanceLog = {
	readonly arrivedAtMs: readonly number[];
	/** When it failed a request by itself. */
	readonly failedAtMs: readonly number[];
	/** Of all gateways, those that did not arrive included. */
	readonly attempts: readonly LoggedAttempt[];
};

/** How many instances were sound, and how many of them got a request of any gateway. */
export type ReachedCount = {
	readonly sound: number;
	readonly reached: number;
};

/** A sound instance that no request arrived at. */
export type MissedInstance = {
	readonly instanceId: string;
	readonly joinsAtMs: number;
	readonly before: readonly LoggedAttempt[];
};

/** A window in which the floor holds: some requests weren't served, but not too many. */
export type TroubledWindow = {
	readonly fromMs: number;
	readonly asked: number;
	readonly unserved: number;
	/** An instance is sound from two seconds after the end of an episode of its own. */
	readonly afterEpisodes: ReachedCount;
	/** An instance is sound from two seconds after the last request that it failed by itself. */
	readonly afterFailures: ReachedCount;
	/** Sound instances without a request, by the second reading, with what they were sent before. */
	readonly missed: readonly MissedInstance[];
};

/** Windows in which the floor holds, with what was reached in them. */
export const findTroubledWindows = (
	lengthMs: number,
	asked: readonly AskedRequest[],
	instances: ReadonlyArray<readonly [FleetInstance, InstanceLog]>,
	behaviour: FleetBehaviour,
): readonly TroubledWindow[] => {
	const isThroughout = (fromMs: number, isSound: (atMs: number) => boolean): boolean =>
		Array.from({length: (windowMs / windowStepMs) + 1}, (_, step) => fromMs + (step * windowStepMs)).every(atMs => isSound(atMs));

	const hasFailed = ({failedAtMs}: InstanceLog, fromMs: number): boolean =>
		failedAtMs.some(atMs => atMs > fromMs - soundAfterFailureMs && atMs < fromMs + windowMs);

	const isReached = ({arrivedAtMs}: InstanceLog, fromMs: number): boolean => arrivedAtMs.some(atMs => atMs >= fromMs && atMs < fromMs + windowMs);

	const count = (sound: ReadonlyArray<readonly [FleetInstance, InstanceLog]>, fromMs: number): ReachedCount => ({
		sound: sound.length, reached: sound.filter(([, log]) => isReached(log, fromMs)).length,
	});

	return Array.from({length: Math.floor((lengthMs - windowMs) / windowStepMs)}, (_, step) => step * windowStepMs).flatMap((fromMs): readonly TroubledWindow[] => {
		const within = asked.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + windowMs);
		const unserved = within.filter(({isServed}) => !isServed).length;
		if (unserved <= minUnservedShare * within.length || unserved >= maxUnservedShare * within.length) {
			return [];
		}

		const untroubled = instances.filter(([instance, log]) => !hasFailed(log, fromMs) && isThroughout(fromMs, atMs => behaviour.isUntroubled(instance, atMs)));
		return [{
			fromMs,
			asked: within.length,
			unserved,
			afterEpisodes: count(instances.filter(([instance]) => isThroughout(fromMs, atMs => behaviour.isSound(instance, atMs))), fromMs),
			afterFailures: count(untroubled, fromMs),
			missed: untroubled.filter(([, log]) => !isReached(log, fromMs)).map(([{instanceId, joinsAtMs}, {attempts}]) => ({
				instanceId, joinsAtMs, before: attempts.filter(attempt => attempt.fromMs < fromMs + windowMs).slice(-explainedAttempts),
			})),
		}];
	});
};

const shareOf = ({sound, reached}: ReachedCount): number => sound === 0 ? 1 : reached / sound;

/** Share of the sound instances that got requests in a window, by the reading under which it is lower. */
export const reachedShare = ({afterEpisodes, afterFailures}: TroubledWindow): number => Math.min(shareOf(afterEpisodes), shareOf(afterFailures));

/** The window in which the smallest share was reached. */
export const worstOf = (windows: readonly TroubledWindow[]): TroubledWindow | undefined =>
	windows.toSorted((left, right) => reachedShare(left) - reachedShare(right))[0];
