/** Messages between an agent and the entry process of its host. Each frame carries one message. */

import type {ConfigRecord} from '../config/types.ts';
import type {EntryHost, Instance} from '../platform/types.ts';

/** Version of this message set. A peer one version away ignores what it does not know. */
export const messageVersion = 1;

/** An entry host as the fleet currently sees it. */
export type FleetMember = {
	readonly host: EntryHost;
	/** Rises each time the entry process of the host starts. */
	readonly incarnation: number;
	/** False while the host is suspected, leaving or without an entry process. */
	readonly usable: boolean;
};

/** From the entry to its agent. */
export type EntryToAgent
	= | {
		readonly type: 'hello';
		readonly version: number;
		readonly hostId: string;
		readonly incarnation: number;
	}
	| {
		/** What the entry's clock shows, for issuing idempotency keys that name it. Sent a few times a second. */
		readonly type: 'key-clock';
		readonly version: number;
		readonly hostId: string;
		readonly incarnation: number;
		readonly clockMs: number;
	}
	| {
		/** For the entries of the hosts `to`; passed on without being read, and lost when one can't be reached. */
		readonly type: 'publish';
		readonly version: number;
		readonly to: readonly string[];
		readonly body: unknown;
	}
	| {
		/** The entry takes no new requests; stop naming it in locate answers. */
		readonly type: 'draining';
		readonly version: number;
	};

/** From the agent to its entry. */
export type AgentToEntry
	= | {
		/** Records whose revision is newer than what was sent before. */
		readonly type: 'config';
		readonly version: number;
		readonly records: readonly ConfigRecord[];
		/** True once the agent holds a whole configuration. */
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
		/** What the entry of the host `from` published. */
		readonly type: 'delivered';
		readonly version: number;
		readonly from: string;
		readonly body: unknown;
	};
