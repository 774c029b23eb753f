/** Selects the failing instances that can be ejected without taking the service below its floor. */

import {hashText} from '../random.ts';

/** Input of the selection. Equal inputs give equal selections on every entry. */
export type FloorInput = {
	readonly service: string;
	/** Instances that are listed and not leaving. */
	readonly listed: readonly string[];
	/** Instances considered failing. */
	readonly failing: ReadonlySet<string>;
	/** Instances with a recent success at some entry. */
	readonly proven: ReadonlySet<string>;
	/** Instances that other entries eject or are about to eject. */
	readonly claimed: ReadonlySet<string>;
	/** Share of the listed instances that must remain in use, from 0 to 1. */
	readonly floorShare: number;
};

/** Number of instances that must remain in use, at least one. */
export const floorCount = (listedCount: number, floorShare: number): number =>
	Math.max(1, Math.ceil((floorShare * listedCount) - Number.EPSILON));

/** Sorts instances by ejection priority; the order is the same on every entry. */
export const ejectionOrder = (service: string, instanceIds: readonly string[]): readonly string[] =>
	instanceIds
		.map(instanceId => ({instanceId, rank: hashText(`${service}\n${instanceId}`)}))
		.toSorted((a, b) => a.rank - b.rank || (a.instanceId < b.instanceId ? -1 : 1))
		.map(({instanceId}) => instanceId);

/**
 * Chooses the instances to eject. The other failing ones are spared.
 *
 * While any instance is ejected, at least the floor of instances with recent proof of health remains; instances claimed
 * by other entries count as ejected. If all claims together exceed what the floor allows, the claims that are first in
 * the ejection order win, so that entries that know the same claims resolve the conflict in the same way.
 */
export const chooseEjected = ({
	service, listed, failing, proven, claimed, floorShare,
}: FloorInput): ReadonlySet<string> => {
	const floor = floorCount(listed.length, floorShare);
	const candidates = ejectionOrder(service, listed.filter(instanceId => failing.has(instanceId) || claimed.has(instanceId)));
	let remaining = listed.length;
	let provenRemaining = listed.filter(instanceId => proven.has(instanceId)).length;
	const ejected = new Set<string>();
	for (const instanceId of candidates) {
		const provenAfter = proven.has(instanceId) ? provenRemaining - 1 : provenRemaining;
		const isAllowed = remaining > floor && provenAfter >= floor;
		const isGone = claimed.has(instanceId) ? remaining > floor : isAllowed;
		if (!isGone) {
			continue;
		}

		remaining--;
		provenRemaining = provenAfter;
		if (isAllowed && failing.has(instanceId)) {
			ejected.add(instanceId);
		}
	}

	return ejected;
};
