/** Checks a replay against what instances said of themselves in their answers. */

import {drainMs, maxPausedArrivals, pauseGraceMs} from '../../../../test/support/notice-bounds.ts';
import type {FleetInstance} from './fleet-instances.ts';
import type {InstanceLog} from './floor-windows.ts';

/** What an instance said of itself to a gateway. */
export type SaidNotice = {
	readonly instanceId: string;
	readonly gatewayId: string;
	readonly atMs: number;
	/** Absent when it said that it leaves. */
	readonly pauseMs?: number;
};

/** Finds requests that a gateway sent against what the instance had told it. */
export const findIgnoredNotices = (notices: readonly SaidNotice[], instances: ReadonlyArray<readonly [FleetInstance, InstanceLog]>): readonly string[] => {
	const logs = new Map(instances.map(([{instanceId}, log]) => [instanceId, log]));
	return notices.flatMap(({instanceId, gatewayId, atMs, pauseMs}) => {
		const sentMs = (logs.get(instanceId)?.attempts ?? []).filter(attempt => attempt.gatewayId === gatewayId).map(({fromMs}) => fromMs);
		if (pauseMs === undefined) {
			const late = sentMs.filter(fromMs => fromMs > atMs + drainMs);
			return late.length > 0 ? [`${late.length} from ${gatewayId} to ${instanceId}, which said at ${Math.round(atMs)} that it leaves`] : [];
		}

		const paused = sentMs.filter(fromMs => fromMs > atMs + pauseGraceMs && fromMs < atMs + pauseMs);
		return paused.length > maxPausedArrivals ? [`${paused.length} from ${gatewayId} to ${instanceId}, which asked at ${Math.round(atMs)} for a pause of ${Math.round(pauseMs)} ms`] : [];
	});
};
