/**
 * Selects an instance for a request: the better of two by requests in flight and latency.
 *
 * The two are the request's home instances, the first two by rendezvous hashing of its fingerprint over the host list.
 * For varied requests this spreads the load like the power of two random choices. Identical requests from all entries
 * run on the same two instances, so that a request that crashes instances can't reach a third one before the entries
 * know of the crashes. A request that succeeded recently runs on the better of two random instances.
 */

import {hashText, type Random} from '../random.ts';
import {homeCount} from './constants.ts';
import type {Placement} from './types.ts';

/** Properties of an instance that the selection depends on. */
export type InstanceView = {
	readonly instanceId: string;
	/** Hash of the instance id. */
	readonly idHash: number;
	/** True when it accepts new requests. */
	readonly isEligible: boolean;
	/** True when it refused a connection or died recently: gets no requests, but still counts as a home instance. */
	readonly isHeld: boolean;
	/** True when it has a free slot. */
	readonly hasRoom: boolean;
	/** True when it runs a request that is suspected of crashing instances. */
	readonly hasSuspect: boolean;
	/** Expected cost of one more request; the instance with the lower cost is chosen. */
	readonly cost: number;
};

/** Properties of a request that the selection depends on. */
export type SelectionRequest = {
	readonly fingerprint: string;
	readonly attemptedIds: readonly string[];
};

/** Result of a selection. */
export type Selection
	= | {readonly type: 'chosen'; readonly instanceId: string}
		| {readonly type: 'busy'}
		| {readonly type: 'none'}
		| {readonly type: 'refused'; readonly kind: 'crash-suspect'};

/** Combines two hashes into one that is evenly distributed over 32 bits. */
const combineHashes = (first: number, second: number): number => {
	/* eslint-disable no-bitwise */
	let mixed = first ^ Math.imul(second, 0x9E_37_79_B1);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
};

/** Returns the first `count` instances by rendezvous hashing of the fingerprint among those that `isCandidate` accepts. */
export const findHomes = <View extends Pick<InstanceView, 'instanceId' | 'idHash'>>(
	fingerprint: string,
	views: readonly View[],
	count: number,
	isCandidate: (view: View) => boolean,
): readonly View[] => {
	const fingerprintHash = hashText(fingerprint);
	const best: Array<{readonly view: View; readonly score: number}> = [];
	for (const view of views) {
		if (!isCandidate(view)) {
			continue;
		}

		const score = combineHashes(fingerprintHash, view.idHash);
		if (best.length === count && score <= best[count - 1]!.score) {
			continue;
		}

		const position = best.findIndex(other => score > other.score);
		best.splice(position === -1 ? best.length : position, 0, {view, score});
		best.length = Math.min(best.length, count);
	}

	return best.map(({view}) => view);
};

const isAvailableOrHeld = (view: InstanceView): boolean => view.isEligible || view.isHeld;

const isUsable = (view: InstanceView): boolean => view.isEligible && !view.isHeld && view.hasRoom;

const findCheapest = (views: readonly InstanceView[]): InstanceView | undefined => {
	let cheapest: InstanceView | undefined;
	for (const view of views) {
		if (cheapest === undefined || view.cost < cheapest.cost) {
			cheapest = view;
		}
	}

	return cheapest;
};

const pickTwoAtRandom = (views: readonly InstanceView[], random: Random): readonly InstanceView[] => {
	if (views.length <= homeCount) {
		return views;
	}

	const first = Math.floor(random.next() * views.length);
	const offset = 1 + Math.floor(random.next() * (views.length - 1));
	return [views[first]!, views[(first + offset) % views.length]!];
};

const asSelection = (view: InstanceView | undefined): Selection =>
	view === undefined ? {type: 'busy'} : {type: 'chosen', instanceId: view.instanceId};

const selectAnywhere = (views: readonly InstanceView[], random: Random): Selection =>
	asSelection(findCheapest(pickTwoAtRandom(views.filter(view => isUsable(view)), random)));

const selectAlone = (request: SelectionRequest, excludedIds: readonly string[], views: readonly InstanceView[]): Selection => {
	const others = views.filter(view => !excludedIds.includes(view.instanceId));
	const [home] = findHomes(request.fingerprint, others.some(view => isAvailableOrHeld(view)) ? others : views, 1, isAvailableOrHeld);
	return asSelection(home !== undefined && isUsable(home) && !home.hasSuspect ? home : undefined);
};

/** Selects an instance for a request among all instances of the service. */
export const selectInstance = (
	request: SelectionRequest,
	placement: Placement,
	views: readonly InstanceView[],
	random: Random,
): Selection => {
	if (placement.type === 'refused') {
		return {type: 'refused', kind: placement.kind};
	}

	if (!views.some(view => isAvailableOrHeld(view))) {
		return {type: 'none'};
	}

	const isAttempted = (view: InstanceView) => request.attemptedIds.includes(view.instanceId);
	switch (placement.type) {
		case 'anywhere': {
			const others = views.filter(view => !isAttempted(view));
			return others.some(view => isAvailableOrHeld(view)) ? selectAnywhere(others, random) : {type: 'none'};
		}

		case 'homes': {
			const homes = findHomes(request.fingerprint, views, homeCount, isAvailableOrHeld);
			// An attempted home that is not held has answered or stalled; a third instance must not be tried.
			return homes.every(view => isAttempted(view) && !view.isHeld)
				? {type: 'none'}
				: asSelection(findCheapest(homes.filter(view => isUsable(view) && !isAttempted(view))));
		}

		case 'alone': {
			return selectAlone(request, placement.excludedIds, views);
		}
	}
};
