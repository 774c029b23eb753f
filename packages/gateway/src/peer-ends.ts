/** Notices that the processes of other gateways end: a process that is killed can't say so itself. */

import type {MemberView} from '@egretwing/core';

/**
 * How the process of a gateway ended: it announced that it leaves, it was replaced by another one without a word, or nothing is
 * heard from it any more.
 */
export type PeerEnd = {
	readonly hostId: string;
	readonly how: 'announced' | 'restarted' | 'lost';
	/** Time between the start of the process and that of the next one, by the clock of its host; only of a restarted one. */
	readonly untilNextStartMs?: number;
};

/** Watches the members for ends of their processes. */
export type PeerEndWatch = {
	/** Returns the ends since the last call. */
	readonly observe: (members: readonly MemberView[]) => readonly PeerEnd[];
};

/** What was last known of the process of a host; it starts at `incarnation`, Unix time in milliseconds. */
type KnownProcess = {
	readonly incarnation: number;
	readonly hasEnded: boolean;
};

/** Creates a watch that knows no process. A process counts from the time at which it is up. */
export const createPeerEndWatch = (): PeerEndWatch => {
	const processes = new Map<string, KnownProcess>();

	const observeMember = ({host: {hostId}, status, entryState, entryIncarnation}: MemberView): readonly PeerEnd[] => {
		const known = processes.get(hostId);
		if (entryIncarnation !== 0 && entryIncarnation !== known?.incarnation) {
			processes.set(hostId, {incarnation: entryIncarnation, hasEnded: false});
			return known === undefined || known.hasEnded ? [] : [{hostId, how: 'restarted', untilNextStartMs: entryIncarnation - known.incarnation}];
		}

		const isAnnounced = status === 'left' || entryState === 'draining';
		if (known === undefined || known.hasEnded || !(isAnnounced || status === 'dead')) {
			return [];
		}

		processes.set(hostId, {...known, hasEnded: true});
		return [{hostId, how: isAnnounced ? 'announced' : 'lost'}];
	};

	return {
		observe: members => members.flatMap(member => observeMember(member)),
	};
};
