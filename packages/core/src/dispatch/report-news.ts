/**
 * Chooses what a gateway tells its peers of a service next, so that a message fits one packet however many instances
 * the service has.
 *
 * Answers the load in which a gateway has requests at more instances than one packet names: what an instance broke goes
 * first, then what peers have not heard of for longest, of all that changed or would lapse at them.
 */

import {reportRowBytes, toldRoundingMs} from './constants.ts';
import type {DispatchReport, InstanceReport} from './types.ts';

/** What has been told so far. */
export type ReportScheduler = {
	/** Rows to tell now, in `maxBytes`; they count as told. Rows that peers know already are repeated after `repeatMs`. */
	readonly takeRows: (report: DispatchReport, maxBytes: number, repeatMs: number, nowMs: number) => readonly InstanceReport[];
	/** Rows that had no place when rows were taken last. */
	readonly pendingRows: () => number;
};

type Told = {
	readonly inFlight: number;
	readonly goodAtMs: number;
	readonly avoidUntilMs: number;
	readonly atMs: number;
};

type Row = {
	readonly instance: InstanceReport;
	readonly urgency: number;
	readonly toldAtMs: number;
};

const urgencies = {avoided: 0, other: 1} as const;

const neverTold: Told = {
	inFlight: 0, goodAtMs: Number.NEGATIVE_INFINITY, avoidUntilMs: Number.NEGATIVE_INFINITY, atMs: Number.NEGATIVE_INFINITY,
};

const goodAtMsOf = ({goodAgeMs}: InstanceReport, nowMs: number): number => goodAgeMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - goodAgeMs;

const avoidUntilMsOf = ({avoidMs}: InstanceReport, nowMs: number): number => avoidMs === undefined ? Number.NEGATIVE_INFINITY : nowMs + avoidMs;

/** How much peers need to hear of an instance; undefined when they know it. */
const urgencyOf = (instance: InstanceReport, told: Told, repeatMs: number, nowMs: number): number | undefined => {
	if (avoidUntilMsOf(instance, nowMs) > told.avoidUntilMs + toldRoundingMs) {
		return urgencies.avoided;
	}

	if (instance.inFlight !== told.inFlight) {
		return urgencies.other;
	}

	const isLasting = instance.inFlight > 0 || instance.avoidMs !== undefined;
	const isNewer = goodAtMsOf(instance, nowMs) > told.goodAtMs + toldRoundingMs;
	return (isLasting || isNewer) && nowMs - told.atMs >= repeatMs ? urgencies.other : undefined;
};

/** What peers have not heard of for longest goes first, so that neither changes nor repetitions wait for ever. */
const compareRows = (left: Row, right: Row): number =>
	left.urgency - right.urgency || (left.toldAtMs < right.toldAtMs ? -1 : Number(left.toldAtMs > right.toldAtMs));

/** The first of `instances` whose rows take `maxBytes` at most. */
const fit = (instances: readonly InstanceReport[], maxBytes: number): readonly InstanceReport[] => {
	let sizeBytes = 0;
	const end = instances.findIndex(({instanceId}) => {
		sizeBytes += instanceId.length + reportRowBytes;
		return sizeBytes > maxBytes;
	});
	return end === -1 ? instances : instances.slice(0, end);
};

/** Creates the news of a gateway that has told nothing. */
export const createReportScheduler = (): ReportScheduler => {
	const toldById = new Map<string, Told>();
	let untold = 0;

	/** Instances of which a request was told that has ended without a trace. */
	const findEnded = (named: ReadonlySet<string>): readonly InstanceReport[] => {
		const ended: InstanceReport[] = [];
		for (const [instanceId, {inFlight}] of toldById) {
			if (named.has(instanceId)) {
				continue;
			}

			if (inFlight > 0) {
				ended.push({instanceId, inFlight: 0});
			} else {
				toldById.delete(instanceId);
			}
		}

		return ended;
	};

	return {
		takeRows({instances}, maxBytes, repeatMs, nowMs) {
			const named = new Set(instances.map(({instanceId}) => instanceId));
			const rows = [...instances, ...findEnded(named)].flatMap((instance): readonly Row[] => {
				const told = toldById.get(instance.instanceId) ?? neverTold;
				const urgency = urgencyOf(instance, told, repeatMs, nowMs);
				return urgency === undefined ? [] : [{instance, urgency, toldAtMs: told.atMs}];
			});
			const chosen = fit(rows.toSorted(compareRows).map(({instance}) => instance), maxBytes);
			untold = rows.length - chosen.length;
			for (const instance of chosen) {
				toldById.set(instance.instanceId, {
					inFlight: instance.inFlight, goodAtMs: goodAtMsOf(instance, nowMs), avoidUntilMs: avoidUntilMsOf(instance, nowMs), atMs: nowMs,
				});
			}

			return chosen;
		},
		pendingRows: () => untold,
	};
};
