/** The table of members and the rules by which a statement replaces another. */

import {groupCount} from '../config/digest.ts';
import {hashText} from '../random.ts';
import type {MemberStatus, MemberUpdate} from './types.ts';

const statusRanks: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, dead: 2, left: 3,
};

/** True for members that are probed and counted: all but those believed dead or gone; a suspected one is still there. */
export const isPresent = ({status}: Pick<MemberUpdate, 'status'>): boolean => status === 'alive' || status === 'suspect';

const uniteSuspecters = (current: MemberUpdate, update: MemberUpdate): MemberUpdate | undefined => {
	const suspectedBy = [...new Set([...current.suspectedBy, ...update.suspectedBy])].toSorted();
	return suspectedBy.length > current.suspectedBy.length ? {...current, suspectedBy} : undefined;
};

/**
 * The statement that holds after `update` was heard, or undefined when nothing changes.
 *
 * A higher incarnation wins; within one, the worse status; two suspicions unite those who raised them. A member that
 * is unknown is not introduced by word of its death.
 */
export const mergeUpdate = (current: MemberUpdate | undefined, update: MemberUpdate): MemberUpdate | undefined => {
	if (current === undefined) {
		return isPresent(update) ? update : undefined;
	}

	if (update.incarnation !== current.incarnation) {
		return update.incarnation > current.incarnation ? update : undefined;
	}

	if (update.status === 'suspect' && current.status === 'suspect') {
		return uniteSuspecters(current, update);
	}

	return statusRanks[update.status] > statusRanks[current.status] ? update : undefined;
};

/** The members one agent knows. */
export type MemberTable = {
	readonly get: (hostId: string) => MemberUpdate | undefined;
	readonly set: (update: MemberUpdate) => void;
	readonly remove: (hostId: string) => void;
	readonly all: () => Iterable<MemberUpdate>;
	/** Members that are alive or suspected, in the order of the ring. */
	readonly ring: () => readonly MemberUpdate[];
	/** Digests of the present members, by group. */
	readonly groupDigests: () => readonly number[];
	/** All members of the groups, dead ones included. */
	readonly inGroups: (groups: readonly number[]) => readonly MemberUpdate[];
	/** Rises with every change. */
	readonly version: () => number;
};

const groupOf = (hostId: string): number => hashText(hostId) % groupCount;

const digestOf = (update: MemberUpdate): number =>
	isPresent(update) ? hashText(`${update.host.hostId}\n${update.incarnation}`) : 0;

/** Creates an empty table. */
export const createMemberTable = (): MemberTable => {
	const members = new Map<string, MemberUpdate>();
	const digests = new Uint32Array(groupCount);
	let version = 0;
	let ring: readonly MemberUpdate[] | undefined;

	const replaceDigest = (hostId: string, update: MemberUpdate | undefined): void => {
		const previous = members.get(hostId);
		const group = groupOf(hostId);
		digests[group] = digests[group]! - (previous ? digestOf(previous) : 0) + (update ? digestOf(update) : 0);
		version++;
		ring = undefined;
	};

	const computeRing = (): readonly MemberUpdate[] => [...members.values()]
		.filter(update => isPresent(update))
		.map(update => ({update, place: hashText(`ring/${update.host.hostId}`)}))
		.toSorted((left, right) => left.place - right.place || (left.update.host.hostId < right.update.host.hostId ? -1 : 1))
		.map(({update}) => update);

	return {
		get: hostId => members.get(hostId),
		set(update) {
			replaceDigest(update.host.hostId, update);
			members.set(update.host.hostId, update);
		},
		remove(hostId) {
			replaceDigest(hostId, undefined);
			members.delete(hostId);
		},
		all: () => members.values(),
		ring() {
			ring ??= computeRing();
			return ring;
		},
		groupDigests: () => [...digests],
		inGroups(groups) {
			const wanted = new Set(groups);
			return [...members.values()].filter(({host}) => wanted.has(groupOf(host.hostId)));
		},
		version: () => version,
	};
};
