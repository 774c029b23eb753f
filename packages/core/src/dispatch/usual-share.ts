/**
 * Estimates what share of a service's requests each workspace usually sends, from what it asked of this gateway.
 *
 * Answers a workspace that suddenly sends many times its usual: the newest requests hardly count, so that its share stays
 * what it was until the sudden load is over, but for a part that keeps it from being served next to nothing.
 */

/** Length of a count. */
const countMs = 5000;

/** Counts that are kept: workspaces with a few requests a minute still have a share. */
const keptCounts = 12;

/** Counts that are too new to tell what is usual. */
const newestCounts = 2;

/** Requests from which the older counts tell shares; below, all counts do. */
const minUsualRequests = 50;

/** Share of a workspace with no or few requests, as a factor on an even share: enough for it to get its first ones through. */
const leastShareFactor = 0.5;

/**
 * Least share, as a part of what a workspace asked for in the last seconds: none may be served less than a quarter as
 * often as all, and these parts add up to a third more than the whole at most.
 */
const leastServedRatio = 1 / 3;

/** Usual shares of the workspaces at one gateway. */
export type UsualShares = {
	/** Counts a request. */
	readonly record: (workspace: string, nowMs: number) => void;
	/** Part of the usual requests that are the workspace's, above 0 and at most 1. */
	readonly shareOf: (workspace: string) => number;
};

type Count = {
	readonly index: number;
	readonly requests: Map<string, number>;
};

type Totals = {
	requests: number;
	readonly byWorkspace: Map<string, number>;
};

const addTo = (totals: Totals, workspace: string, requests: number): void => {
	totals.requests += requests;
	totals.byWorkspace.set(workspace, (totals.byWorkspace.get(workspace) ?? 0) + requests);
};

const sumUp = (counts: readonly Count[]): Totals => {
	const totals: Totals = {requests: 0, byWorkspace: new Map()};
	for (const {requests} of counts) {
		for (const [workspace, count] of requests) {
			addTo(totals, workspace, count);
		}
	}

	return totals;
};

const partOf = ({requests, byWorkspace}: Totals, workspace: string): number => requests === 0 ? 0 : (byWorkspace.get(workspace) ?? 0) / requests;

/** Creates an estimate without requests. */
export const createUsualShares = (): UsualShares => {
	let counts: Count[] = [];
	let usual: Totals = {requests: 0, byWorkspace: new Map()};
	/** Requests of the current count and the one before. */
	let recent: Totals = {requests: 0, byWorkspace: new Map()};
	/** False while the older requests are too few and `usual` holds all. */
	let hasUsual = false;

	/** Starts a new count; the sums change only here, so that a request costs no sum over workspaces. */
	const startCount = (index: number): Count => {
		counts = counts.filter(count => index - count.index < keptCounts);
		recent = sumUp(counts.filter(count => index - count.index === 1));
		const older = sumUp(counts.filter(count => index - count.index > newestCounts));
		hasUsual = older.requests >= minUsualRequests;
		usual = hasUsual ? older : sumUp(counts);

		const started = {index, requests: new Map<string, number>()};
		counts.push(started);
		return started;
	};

	return {
		record(workspace, nowMs) {
			const index = Math.floor(nowMs / countMs);
			const last = counts.at(-1);
			const {requests} = last?.index === index ? last : startCount(index);
			requests.set(workspace, (requests.get(workspace) ?? 0) + 1);
			addTo(recent, workspace, 1);
			if (!hasUsual) {
				addTo(usual, workspace, 1);
			}
		},
		shareOf: workspace => Math.max(
			partOf(usual, workspace),
			leastServedRatio * partOf(recent, workspace),
			leastShareFactor / Math.max(1, usual.byWorkspace.size),
		),
	};
};
