/** What the platform publishes: the host list and the feed of configuration records. */

/** Whether the platform still counts on a host. */
export type HostState = 'live' | 'leaving';

/** An entry host: one agent and one entry process at one address. */
export type EntryHost = {
	readonly role: 'entry';
	readonly hostId: string;
	readonly address: string;
	readonly region: string;
	readonly dataCentre: string;
	readonly state: HostState;
	/** Where callers send requests (HTTP). */
	readonly entryPort: number;
	/** Where callers ask which addresses to use (HTTP). */
	readonly locatePort: number;
	/** Where the agents talk to each other (UDP and TCP). */
	readonly peerPort: number;
	/** Strength relative to other hosts: the weaker of its link and its processor. Absent when the host does not say. */
	readonly capacity?: number;
};

/** One instance of a service on a backend server. */
export type Instance = {
	readonly role: 'backend';
	/** Unique in the fleet; the instance id. */
	readonly hostId: string;
	readonly service: string;
	readonly address: string;
	readonly port: number;
	readonly region: string;
	readonly dataCentre: string;
	readonly state: HostState;
};

/** A line of the host list. */
export type Host = EntryHost | Instance;

/** The host list as published; `sequence` rises with every change. */
export type HostList = {
	readonly sequence: number;
	readonly hosts: readonly Host[];
};

/** A page of the configuration feed: records changed after the asked position, oldest first. */
export type ConfigPage = {
	/** Position to ask from next. */
	readonly position: number;
	/** True when no further record is waiting. */
	readonly complete: boolean;
	/** Records as written; not yet checked. */
	readonly records: readonly unknown[];
};
