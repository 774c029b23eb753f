/** Types of the membership of entry hosts. */

import type {EntryHost} from '../platform/types.ts';

/** State of the entry process of a host, as its own agent sees it. */
export type EntryState = 'up' | 'draining' | 'down';

/** What the fleet believes of an agent. `left` is announced by the agent itself. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** One statement about a member. */
export type MemberUpdate = {
	readonly host: EntryHost;
	/** Raised by the member itself, at its start, with each change of its own facts and to refute a suspicion. */
	readonly incarnation: number;
	readonly status: MemberStatus;
	readonly entryState: EntryState;
	/** Incarnation of the entry process; 0 while none is up. */
	readonly entryIncarnation: number;
	/** Distinct hosts that could not reach the member, when it is suspected. */
	readonly suspectedBy: readonly string[];
};

/** A message about membership from one agent to another. */
export type MemberMessage
	= | {
		readonly type: 'ping';
		readonly sequence: number;
		readonly target: string;
		/** True when the sender wants the target's own statement in the answer. */
		readonly introduce: boolean;
		readonly updates: readonly MemberUpdate[];
	}
	| {
		readonly type: 'ack';
		readonly sequence: number;
		/** Host that answered; another one than the sender when a helper passes the answer on. */
		readonly target: string;
		readonly updates: readonly MemberUpdate[];
	}
	| {
		/** The address of `target` belongs to the sender now. */
		readonly type: 'not-me';
		readonly target: string;
		readonly updates: readonly MemberUpdate[];
	}
	| {
		readonly type: 'ping-request';
		readonly sequence: number;
		readonly target: string;
		readonly updates: readonly MemberUpdate[];
	}
	| {
		/** The helper works, but did not hear from the target either. */
		readonly type: 'nack';
		readonly sequence: number;
		readonly updates: readonly MemberUpdate[];
	}
	| {readonly type: 'gossip'; readonly updates: readonly MemberUpdate[]}
	| {
		/** Starts a comparison of all members. */
		readonly type: 'state-digest';
		readonly sequence: number;
		readonly groups: readonly number[];
	}
	| {
		readonly type: 'state';
		/** Sequence of the comparison that this answers. */
		readonly sequence: number;
		readonly updates: readonly MemberUpdate[];
		/** Groups wanted in return. */
		readonly wanted: readonly number[];
	};

/** Where a message goes and how: `stream` for messages that do not fit a datagram. */
export type MemberSend = {
	readonly to: Pick<EntryHost, 'hostId' | 'address' | 'peerPort'>;
	readonly transport: 'datagram' | 'stream';
	readonly message: MemberMessage;
};

/** A member as its surroundings see it. */
export type MemberView = {
	readonly host: EntryHost;
	readonly status: MemberStatus;
	readonly entryState: EntryState;
	readonly entryIncarnation: number;
	/** True when callers may be sent to the entry of the host. */
	readonly usable: boolean;
};

/** Counts since the start. */
export type MembershipCounters = {
	readonly probesSent: number;
	readonly probesFailed: number;
	readonly suspicionsRaised: number;
	readonly suspicionsLapsed: number;
	readonly refutations: number;
	readonly deathsDeclared: number;
	readonly pausesDetected: number;
};
