/**
 * Evaluates a replay against the floor: while some but not too many requests fail, a minimum share of the sound instances has
 * to get requests.
 */

import type {AttemptResult} from '@egretwing/core';
import type {FleetBehaviour, FleetInstance} from './fleet-instances.ts';

/** Minimum share of the sound instances that have to get requests in any two seconds. */
export const floorShare = 0.7;

const windowMs = 2000;
const windowStepMs = 100;

/** The floor applies to windows in which the share of unserved requests lies between these two. */
const minUnservedShare = 0.1;
const maxUnservedShare = 0.5;

/** Time after the last failure of its own after which an instance is sound again. */
const soundAfterFailureMs = 2000;

/** Number of attempts listed for an instance that got no request. */
const explainedAttempts = 4;

/** A request of a caller. */
export type CallerRequest = {
	readonly atMs: number;
	readonly isServed: boolean;
};

/** One attempt at one instance. */
export type LoggedAttempt = {
	readonly gatewayId: string;
	readonly fromMs: number;
	readonly untilMs: number;
	readonly result: AttemptResult;
};

/** Requests and attempts of one instance. */
export type InstanceLog = {
	readonly arrivedAtMs: readonly number[];
	/** When it failed a request in an episode of its own, rather than because of a drawn fault. */
	readonly failedAtMs: readonly number[];
	/** Attempts of all gateways, including those that did not reach the instance. */
	readonly attempts: readonly LoggedAttempt[];
};

/** Number of sound instances, and of those among them that got a request from any gateway. */
export type ReachedCount = {
	readonly sound: number;
	readonly reached: number;
};

/** A sound instance that got no request, with the attempts at it before. */
export type MissedInstance = {
	readonly instanceId: string;
	readonly joinsAtMs: number;
	readonly before: readonly LoggedAttempt[];
};

/** A window to which the floor applies. */
export type FloorWindow = {
	readonly fromMs: number;
	readonly asked: number;
	readonly unserved: number;
	/** Count where an instance is sound from two seconds after the end of an episode of its own. */
	readonly afterEpisodes: ReachedCount;
	/** Count where an instance is sound from two seconds after the last failure of its own. */
	readonly afterFailures: ReachedCount;
	/** Sound instances without a request, by the definition of `afterFailures`. */
	readonly missed: readonly MissedInstance[];
};

/** Finds the windows to which the floor applies and counts the instances reached in them. */
export const findFloorWindows = (
	lengthMs: number,
	asked: readonly CallerRequest[],
	instances: ReadonlyArray<readonly [FleetInstance, InstanceLog]>,
	behaviour: FleetBehaviour,
): readonly FloorWindow[] => {
	const isThroughout = (fromMs: number, isSound: (atMs: number) => boolean): boolean =>
		Array.from({length: (windowMs / windowStepMs) + 1}, (_, step) => fromMs + (step * windowStepMs)).every(atMs => isSound(atMs));

	const hasFailed = ({failedAtMs}: InstanceLog, fromMs: number): boolean =>
		failedAtMs.some(atMs => atMs > fromMs - soundAfterFailureMs && atMs < fromMs + windowMs);

	const isReached = ({arrivedAtMs}: InstanceLog, fromMs: number): boolean => arrivedAtMs.some(atMs => atMs >= fromMs && atMs < fromMs + windowMs);

	const count = (sound: ReadonlyArray<readonly [FleetInstance, InstanceLog]>, fromMs: number): ReachedCount => ({
		sound: sound.length, reached: sound.filter(([, log]) => isReached(log, fromMs)).length,
	});

	return Array.from({length: Math.floor((lengthMs - windowMs) / windowStepMs)}, (_, step) => step * windowStepMs).flatMap((fromMs): readonly FloorWindow[] => {
		const within = asked.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + windowMs);
		const unserved = within.filter(({isServed}) => !isServed).length;
		if (unserved <= minUnservedShare * within.length || unserved >= maxUnservedShare * within.length) {
			return [];
		}

		const faultFree = instances.filter(([instance, log]) => !hasFailed(log, fromMs) && isThroughout(fromMs, atMs => behaviour.isFaultFree(instance, atMs)));
		return [{
			fromMs,
			asked: within.length,
			unserved,
			afterEpisodes: count(instances.filter(([instance]) => isThroughout(fromMs, atMs => behaviour.isSound(instance, atMs))), fromMs),
			afterFailures: count(faultFree, fromMs),
			missed: faultFree.filter(([, log]) => !isReached(log, fromMs)).map(([{instanceId, joinsAtMs}, {attempts}]) => ({
				instanceId, joinsAtMs, before: attempts.filter(attempt => attempt.fromMs < fromMs + windowMs).slice(-explainedAttempts),
			})),
		}];
	});
};

const shareOf = ({sound, reached}: ReachedCount): number => sound === 0 ? 1 : reached / sound;

/** Share of the sound instances that got requests in a window, by the definition that gives the lower share. */
export const reachedShare = ({afterEpisodes, afterFailures}: FloorWindow): number => Math.min(shareOf(afterEpisodes), shareOf(afterFailures));

/** The window with the smallest share. */
export const worstOf = (windows: readonly FloorWindow[]): FloorWindow | undefined =>
	windows.toSorted((left, right) => reachedShare(left) - reachedShare(right))[0];
