/** Which failing instances may be ejected without taking the service below its floor. */

import {hashText} from '../random.ts';

/** What the choice depends on. Equal inputs give equal choices on every entry. */
export type FloorInput = {
	readonly service: string;
	/** Instances that are listed and not leaving. */
	readonly listed: readonly string[];
	/** Instances taken for failing. */
	readonly failing: ReadonlySet<string>;
	/** Instances with a fresh success at some entry. */
	readonly proven: ReadonlySet<string>;
	/** Instances that other entries eject or are about to. */
	readonly claimed: ReadonlySet<string>;
	/** Share of the listed instances that stays, from 0 to 1. */
	readonly floorShare: number;
};

/** Number of instances that stay, at least one. */
export const floorCount = (listedCount: number, floorShare: number): number =>
	Math.max(1, Math.ceil((floorShare * listedCount) - Number.EPSILON));

/** Sorts instances in the order in which they are ejected; the same on every entry. */
export const ejectionOrder = (service: string, instanceIds: readonly string[]): readonly string[] =>
	instanceIds
		.map(instanceId => ({instanceId, rank: hashText(`${service}\n${instanceId}`)}))
		.toSorted((a, b) => a.rank - b.rank || (a.instanceId < b.instanceId ? -1 : 1))
		.map(({instanceId}) => instanceId);

/**
 * Chooses the instances to eject. The other failing ones are spared.
 *
 * As long as any is ejected, at least the floor of instances with fresh proof of health stays, and those that the other
 * entries claim count as gone. Where the claims of all are more than the floor allows, the first in the order stand, so
 * that every entry that hears the same claims gives way alike.
 */
export const chooseEjected = ({
	service, listed, failing, proven, claimed, floorShare,
}: FloorInput): ReadonlySet<string> => {
	const floor = floorCount(listed.length, floorShare);
	const candidates = ejectionOrder(service, listed.filter(instanceId => failing.has(instanceId) || claimed.has(instanceId)));
	let left = listed.length;
	let provenLeft = listed.filter(instanceId => proven.has(instanceId)).length;
	const ejected = new Set<string>();
	for (const instanceId of candidates) {
		const provenAfter = proven.has(instanceId) ? provenLeft - 1 : provenLeft;
		const isAllowed = left > floor && provenAfter >= floor;
		const isGone = claimed.has(instanceId) ? left > floor : isAllowed;
		if (!isGone) {
			continue;
		}

		left--;
		provenLeft = provenAfter;
		if (isAllowed && failing.has(instanceId)) {
			ejected.add(instanceId);
		}
	}

	return ejected;
};
