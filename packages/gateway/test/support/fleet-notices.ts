/** Checks a replay against what instances said of themselves in their answers. */

import type {FleetInstance} from './fleet-instances.ts';
import type {InstanceLog} from './floor-windows.ts';

/** Time after an answer that says that its instance leaves from which its gateway may send no new request. */
const drainMs = 2000;

/** Time after a request for a pause from which it counts, and the number of requests that may reach the instance in it. */
const pauseGraceMs = 500;
const maxPausedArrivals = 2;

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
