/** Types of the membership protocol between the agents of entry hosts. */

import type {EntryHost} from '../platform/types.ts';

/** State of the entry process of a host, as reported by the agent on that host. */
export type EntryState = 'up' | 'draining' | 'down';

/** Status of an agent as seen by others. `left` is announced by the agent itself. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** The state of a member at one incarnation. */
export type MemberUpdate = {
	readonly host: EntryHost;
	/** Increased only by the member itself: at its start, with each change of its own state and to refute a suspicion. */
	readonly incarnation: number;
	readonly status: MemberStatus;
	readonly entryState: EntryState;
	/** Incarnation of the entry process; 0 while none is up. */
	readonly entryIncarnation: number;
	/** Hosts that could not reach the member, without duplicates; empty unless it is suspected. */
	readonly suspectedBy: readonly string[];
};

/** A message about membership from one agent to another. */
export type MemberMessage
	= | {
		readonly type: 'ping';
		readonly sequence: number;
		readonly target: string;
		/** True when the answer should include the target's update about itself. */
		readonly introduce: boolean;
		readonly updates: readonly MemberUpdate[];
	}
	| {
		readonly type: 'ack';
		readonly sequence: number;
		/** Host that answered; not the sender when a helper forwards the answer. */
		readonly target: string;
		readonly updates: readonly MemberUpdate[];
	}
	| {
		/** The ping for `target` reached the sender instead, which now has that address. */
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
		/** From a helper that got no answer from the target either. */
		readonly type: 'nack';
		readonly sequence: number;
		readonly updates: readonly MemberUpdate[];
	}
	| {readonly type: 'gossip'; readonly updates: readonly MemberUpdate[]}
	| {
		/** Starts a comparison of the member tables. */
		readonly type: 'state-digest';
		readonly sequence: number;
		readonly groups: readonly number[];
	}
	| {
		readonly type: 'state';
		/** Sequence of the `state-digest` that this answers; 0 for groups sent because they were `wanted`. */
		readonly sequence: number;
		readonly updates: readonly MemberUpdate[];
		/** Groups that the receiver should send in return. */
		readonly wanted: readonly number[];
	};

/** An outgoing message. Those that may not fit in a datagram use a `stream`. */
export type MemberSend = {
	readonly to: Pick<EntryHost, 'hostId' | 'address' | 'peerPort'>;
	readonly transport: 'datagram' | 'stream';
	readonly message: MemberMessage;
};

/** A member as callers of the membership see it. */
export type MemberView = {
	readonly host: EntryHost;
	readonly status: MemberStatus;
	readonly entryState: EntryState;
	readonly entryIncarnation: number;
	/** True when callers may be sent to the entry process of the host. */
	readonly usable: boolean;
};

/** Counters since the start. */
export type MembershipCounters = {
	readonly probesSent: number;
	readonly probesFailed: number;
	readonly suspicionsRaised: number;
	/** Suspicions that ended because too few hosts shared them. */
	readonly suspicionsLapsed: number;
	readonly refutations: number;
	readonly deathsDeclared: number;
	readonly pausesDetected: number;
};
