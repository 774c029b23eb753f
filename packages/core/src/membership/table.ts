/** The table of members, and the rules by which one update about a member replaces another. */

import {groupCount} from '../config/digest.ts';
import {hashText} from '../random.ts';
import type {MemberStatus, MemberUpdate} from './types.ts';

const statusRanks: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, dead: 2, left: 3,
};

/** True for members that are probed and counted: alive and suspected ones, but not dead ones and those that left. */
export const isPresent = ({status}: Pick<MemberUpdate, 'status'>): boolean => status === 'alive' || status === 'suspect';

const mergeSuspectedBy = (current: MemberUpdate, update: MemberUpdate): MemberUpdate | undefined => {
	const suspectedBy = [...new Set([...current.suspectedBy, ...update.suspectedBy])].toSorted();
	return suspectedBy.length > current.suspectedBy.length ? {...current, suspectedBy} : undefined;
};

/**
 * Merges an update into the current state of a member. Returns the new state, or undefined when nothing changes.
 *
 * The higher incarnation wins; within an incarnation the worse status wins, and two suspicions are merged into one
 * that lists the hosts of both. An unknown member is not added when the update says that it is dead or has left.
 */
export const mergeUpdate = (current: MemberUpdate | undefined, update: MemberUpdate): MemberUpdate | undefined => {
	if (current === undefined) {
		return isPresent(update) ? update : undefined;
	}

	if (update.incarnation !== current.incarnation) {
		return update.incarnation > current.incarnation ? update : undefined;
	}

	if (update.status === 'suspect' && current.status === 'suspect') {
		return mergeSuspectedBy(current, update);
	}

	return statusRanks[update.status] > statusRanks[current.status] ? update : undefined;
};

/** The members known to one agent. */
export type MemberTable = {
	readonly get: (hostId: string) => MemberUpdate | undefined;
	readonly set: (update: MemberUpdate) => void;
	readonly remove: (hostId: string) => void;
	readonly all: () => Iterable<MemberUpdate>;
	/** Present members (alive or suspected) in ring order. */
	readonly ring: () => readonly MemberUpdate[];
	/** Digest of the present members of each group. */
	readonly groupDigests: () => readonly number[];
	/** All members of the given groups, including those that are dead or left. */
	readonly inGroups: (groups: readonly number[]) => readonly MemberUpdate[];
	/** Increases with every change. */
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
		.map(update => ({update, position: hashText(`ring/${update.host.hostId}`)}))
		.toSorted((left, right) => left.position - right.position || (left.update.host.hostId < right.update.host.hostId ? -1 : 1))
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
