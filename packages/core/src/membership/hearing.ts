/** When this agent last heard from others, to tell a deaf process from a silent peer. */

type Heard = {readonly hostId: string; readonly atMs: number};

/** What was heard last. */
export type Hearing = {
	readonly note: (hostId: string, nowMs: number) => void;
	/** True when a host other than `target` was heard at or after `sinceMs`. */
	readonly heardOther: (target: string, sinceMs: number) => boolean;
};

/** Creates the record of an agent that has heard nobody. */
export const createHearing = (): Hearing => {
	let latest: Heard = {hostId: '', atMs: Number.NEGATIVE_INFINITY};
	let before: Heard = latest;
	return {
		note(hostId, nowMs) {
			before = latest.hostId === hostId ? before : latest;
			latest = {hostId, atMs: nowMs};
		},
		heardOther(target, sinceMs) {
			const heard = latest.hostId === target ? before : latest;
			return heard.atMs >= sinceMs;
		},
	};
};
