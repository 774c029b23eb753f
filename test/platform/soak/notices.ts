/** Checks that gateways heed what instances say of themselves in their answers. */

import {drainMs, maxPausedArrivals, pauseGraceMs} from '../../support/notice-bounds.ts';
import type {Call} from './callers.ts';
import type {SoakAction} from './schedule.ts';

/** Time for which a signal may still stop or restart a gateway. */
const signalEffectMs = 4000;
/** Time around a notice in which a fault of the link may have kept it from the gateway. */
const linkEffectMs = 1000;

/** A request that an instance read. Times are in Unix milliseconds. */
export type Arrival = {
	readonly requestId: string;
	readonly instanceId: string;
	readonly atMs: number;
};

/** An answer that says something of its instance. */
export type SaidNotice = Arrival & {
	readonly isLeaving: boolean;
	readonly pauseMs?: number;
	/** Whether the answer is the final one of its request, unless a gateway could not read it. */
	readonly isFinal: boolean;
};

/** An action of the schedule as it was applied. */
export type AppliedAction = {
	readonly atMs: number;
	readonly action: SoakAction;
};

/** What instances and the schedule recorded. */
export type NoticeRecords = {
	readonly arrivals: readonly Arrival[];
	readonly notices: readonly SaidNotice[];
	readonly applied: readonly AppliedAction[];
	/** Address of a gateway by its number. */
	readonly addresses: readonly string[];
};

const isPassedOn = ({end}: Call): boolean => end.type === 'answered' && (end.statusCode === 200 || end.statusCode === 500);

/** Finds requests that a gateway passed to an instance against what it had told that gateway. */
export const checkNotices = (calls: readonly Call[], {arrivals, notices, applied, addresses}: NoticeRecords): readonly string[] => {
	const callById = new Map(calls.map(call => [call.requestId, call]));

	/** A restart or a pause of the gateway ends what it was told. */
	const isSignalled = (gateway: string, fromMs: number, untilMs: number): boolean => applied.some(({atMs, action}) =>
		((action.type === 'signal' && addresses[action.gateway] === gateway && action.signal !== 'SIGHUP') || action.type === 'signal-all')
		&& atMs > fromMs - signalEffectMs && atMs < untilMs);

	const isLinkHarmed = (instanceId: string, atMs: number): boolean => {
		const index = Number(instanceId.split('-')[1]);
		let harmedSinceMs: number | undefined;
		for (const {atMs: changedAtMs, action} of applied) {
			if (action.type !== 'instance-link' || action.instance !== index || changedAtMs > atMs + linkEffectMs) {
				continue;
			}

			if (harmedSinceMs !== undefined && changedAtMs > atMs - linkEffectMs) {
				return true;
			}

			harmedSinceMs = action.fault.type === 'none' ? undefined : changedAtMs;
		}

		return harmedSinceMs !== undefined;
	};

	/** Requests of one gateway that reached an instance. */
	const arrivalsFrom = (gateway: string, instanceId: string): ReadonlyArray<Arrival & {readonly sentAtMs: number}> => arrivals.flatMap(arrival => {
		const call = callById.get(arrival.requestId);
		return arrival.instanceId === instanceId && call?.gateway === gateway ? [{...arrival, sentAtMs: call.sentAtMs}] : [];
	});

	return notices.flatMap(({requestId, instanceId, atMs, isLeaving, pauseMs, isFinal}) => {
		const call = callById.get(requestId);
		if (call === undefined || isLinkHarmed(instanceId, atMs)) {
			return [];
		}

		const from = arrivalsFrom(call.gateway, instanceId);
		const late = isLeaving && isFinal && isPassedOn(call)
			? from.filter(arrival => arrival.sentAtMs > call.endedAtMs + drainMs && !isSignalled(call.gateway, call.endedAtMs, arrival.atMs))
			: [];
		const paused = pauseMs === undefined || isSignalled(call.gateway, atMs, atMs + pauseMs)
			? []
			: from.filter(arrival => arrival.atMs > atMs + pauseGraceMs && arrival.atMs < atMs + pauseMs);
		return [
			...late.map(arrival => `${arrival.requestId} reached ${instanceId} by ${call.gateway} ${arrival.sentAtMs - call.endedAtMs} ms after an answer that said it leaves`),
			...(paused.length > maxPausedArrivals ? [`${paused.length} requests reached ${instanceId} by ${call.gateway} in a pause of ${pauseMs} ms`] : []),
		];
	});
};
