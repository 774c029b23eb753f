/**
 * Chooses the rows of the next report of a service to peers, so that a message fits one packet however many instances
 * the service has.
 *
 * When more rows changed, or are about to expire at the peers, than one packet holds, new avoidances go first, then the
 * rows that were sent longest ago.
 */

import {reportRowBytes, reportRoundingMs} from './constants.ts';
import type {DispatchReport, InstanceReport} from './types.ts';

/** Schedules the report rows of one service at one gateway. */
export type ReportScheduler = {
	/** Returns the rows to send now, within `maxBytes`, and marks them as sent. Rows that peers know are repeated after `repeatMs`. */
	readonly takeRows: (report: DispatchReport, maxBytes: number, repeatMs: number, nowMs: number) => readonly InstanceReport[];
	/** Number of rows that did not fit in the last call of `takeRows`. */
	readonly pendingRows: () => number;
};

type SentRow = {
	readonly inFlight: number;
	readonly goodAtMs: number;
	readonly avoidUntilMs: number;
	readonly atMs: number;
};

type Candidate = {
	readonly instance: InstanceReport;
	readonly urgency: number;
	readonly toldAtMs: number;
};

const urgencies = {avoided: 0, other: 1} as const;

const neverSent: SentRow = {
	inFlight: 0, goodAtMs: Number.NEGATIVE_INFINITY, avoidUntilMs: Number.NEGATIVE_INFINITY, atMs: Number.NEGATIVE_INFINITY,
};

const goodAtMsOf = ({goodAgeMs}: InstanceReport, nowMs: number): number => goodAgeMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - goodAgeMs;

const avoidUntilMsOf = ({avoidMs}: InstanceReport, nowMs: number): number => avoidMs === undefined ? Number.NEGATIVE_INFINITY : nowMs + avoidMs;

/** Urgency of a row, the lower the sooner; undefined when peers know it. */
const urgencyOf = (instance: InstanceReport, lastSent: SentRow, repeatMs: number, nowMs: number): number | undefined => {
	if (avoidUntilMsOf(instance, nowMs) > lastSent.avoidUntilMs + reportRoundingMs) {
		return urgencies.avoided;
	}

	if (instance.inFlight !== lastSent.inFlight) {
		return urgencies.other;
	}

	const isLasting = instance.inFlight > 0 || instance.avoidMs !== undefined;
	const isNewer = goodAtMsOf(instance, nowMs) > lastSent.goodAtMs + reportRoundingMs;
	return (isLasting || isNewer) && nowMs - lastSent.atMs >= repeatMs ? urgencies.other : undefined;
};

/** Rows of equal urgency that were sent longest ago go first, so that neither changes nor repetitions starve. */
const compareCandidates = (left: Candidate, right: Candidate): number =>
	left.urgency - right.urgency || (left.toldAtMs < right.toldAtMs ? -1 : Number(left.toldAtMs > right.toldAtMs));

/** Longest prefix of `instances` whose rows take at most `maxBytes`. */
const takeWhileFitting = (instances: readonly InstanceReport[], maxBytes: number): readonly InstanceReport[] => {
	let sizeBytes = 0;
	const end = instances.findIndex(({instanceId}) => {
		sizeBytes += instanceId.length + reportRowBytes;
		return sizeBytes > maxBytes;
	});
	return end === -1 ? instances : instances.slice(0, end);
};

/** Creates a scheduler that has sent no rows. */
export const createReportScheduler = (): ReportScheduler => {
	const sentById = new Map<string, SentRow>();
	let pendingRows = 0;

	/** Rows for instances whose requests were reported in flight and are missing from the current report. */
	const findEndedRequests = (reportedIds: ReadonlySet<string>): readonly InstanceReport[] => {
		const ended: InstanceReport[] = [];
		for (const [instanceId, {inFlight}] of sentById) {
			if (reportedIds.has(instanceId)) {
				continue;
			}

			if (inFlight > 0) {
				ended.push({instanceId, inFlight: 0});
			} else {
				sentById.delete(instanceId);
			}
		}

		return ended;
	};

	return {
		takeRows({instances}, maxBytes, repeatMs, nowMs) {
			const reportedIds = new Set(instances.map(({instanceId}) => instanceId));
			const rows = [...instances, ...findEndedRequests(reportedIds)].flatMap((instance): readonly Candidate[] => {
				const lastSent = sentById.get(instance.instanceId) ?? neverSent;
				const urgency = urgencyOf(instance, lastSent, repeatMs, nowMs);
				return urgency === undefined ? [] : [{instance, urgency, toldAtMs: lastSent.atMs}];
			});
			const chosen = takeWhileFitting(rows.toSorted(compareCandidates).map(({instance}) => instance), maxBytes);
			pendingRows = rows.length - chosen.length;
			for (const instance of chosen) {
				sentById.set(instance.instanceId, {
					inFlight: instance.inFlight, goodAtMs: goodAtMsOf(instance, nowMs), avoidUntilMs: avoidUntilMsOf(instance, nowMs), atMs: nowMs,
				});
			}

			return chosen;
		},
		pendingRows: () => pendingRows,
	};
};
