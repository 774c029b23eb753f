/** Messages between an agent and the entry process of its host. Each frame carries one message. */

import type {ConfigRecord} from '../config/types.ts';
import type {EntryHost, Instance} from '../platform/types.ts';

/** Version of these messages. A receiver that is one version apart ignores what it does not know. */
export const messageVersion = 1;

/** An entry host as the fleet sees it at present. */
export type FleetMember = {
	readonly host: EntryHost;
	/** Increases with each start of the host's entry process. */
	readonly incarnation: number;
	/** False when the host is suspected, leaving or without an entry process. */
	readonly usable: boolean;
};

/** A message from an entry process to its agent. */
export type EntryToAgent
	= | {
		readonly type: 'hello';
		readonly version: number;
		readonly hostId: string;
		readonly incarnation: number;
	}
	| {
		/** The time on the entry's clock, for issuing idempotency keys that name this entry. Sent several times a second. */
		readonly type: 'key-clock';
		readonly version: number;
		readonly hostId: string;
		readonly incarnation: number;
		readonly clockMs: number;
	}
	| {
		/** For the entries of the hosts `to`. The agent forwards `body` without reading it; it is lost for hosts that can't be reached. */
		readonly type: 'publish';
		readonly version: number;
		readonly to: readonly string[];
		readonly body: unknown;
	}
	| {
		/** The entry accepts no new requests and should no longer be named in locate answers. */
		readonly type: 'draining';
		readonly version: number;
	};

/** A message from an agent to its entry process. */
export type AgentToEntry
	= | {
		/** Records of a higher revision than those sent before. */
		readonly type: 'config';
		readonly version: number;
		readonly records: readonly ConfigRecord[];
		/** True once the agent holds a complete configuration. */
		readonly ready: boolean;
	}
	| {
		readonly type: 'instances';
		readonly version: number;
		readonly sequence: number;
		readonly instances: readonly Instance[];
	}
	| {
		readonly type: 'members';
		readonly version: number;
		readonly members: readonly FleetMember[];
	}
	| {
		/** A message published by the entry of the host `from`. */
		readonly type: 'delivered';
		readonly version: number;
		readonly from: string;
		readonly body: unknown;
	};
