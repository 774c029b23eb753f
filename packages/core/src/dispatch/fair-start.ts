/**
 * Start-time fair queueing between the workspaces of one rank: in which order their waiting requests start.
 *
 * Answers contention for the slots of a service: each workspace gets slots in proportion to its usual share, so that one
 * that sends many times its usual waits behind its own requests, and none starves. What one leaves goes to the others.
 */

import type {UsualShares} from './usual-share.ts';

/** Virtual start times of the workspaces of one rank. */
export type FairStart = {
	/** Virtual start of the request behind `ahead` waiting requests of the same workspace; the least starts first. */
	readonly startOf: (workspace: string, ahead: number) => number;
	/** Records that a request of the workspace starts. */
	readonly recordStart: (workspace: string) => void;
};

/** Workspaces remembered at most: those that started a request long ago owe nothing. */
const maxRemembered = 10_000;

/** Creates the order of a rank without requests. */
export const createFairStart = ({shareOf}: Pick<UsualShares, 'shareOf'>): FairStart => {
	const finishes = new Map<string, number>();
	let virtualNow = 0;

	const startOf = (workspace: string, ahead: number): number =>
		Math.max(virtualNow, finishes.get(workspace) ?? 0) + (ahead === 0 ? 0 : ahead / shareOf(workspace));

	/** Forgets workspaces whose requests would start at once anyway. */
	const forgetSettled = (): void => {
		for (const [workspace, finish] of finishes) {
			if (finish <= virtualNow) {
				finishes.delete(workspace);
			}
		}
	};

	return {
		startOf,
		recordStart(workspace) {
			virtualNow = startOf(workspace, 0);
			finishes.set(workspace, virtualNow + (1 / shareOf(workspace)));
			if (finishes.size > maxRemembered) {
				forgetSettled();
			}
		},
	};
};
