/** Types of the data that the platform publishes: the host list and the feed of configuration records. */

/** Whether a host stays in the fleet or is being removed from it. */
export type HostState = 'live' | 'leaving';

/** An entry host: one agent and one entry process at one address. */
export type EntryHost = {
	readonly role: 'entry';
	readonly hostId: string;
	readonly address: string;
	readonly region: string;
	readonly dataCentre: string;
	readonly state: HostState;
	/** Port for requests of callers (HTTP). */
	readonly entryPort: number;
	/** Port at which callers ask for the addresses to use (HTTP). */
	readonly locatePort: number;
	/** Port for messages between agents (UDP and TCP). */
	readonly peerPort: number;
	/** Capacity relative to other hosts: the lower of the capacities of its link and its processor. Absent when the host does not give it. */
	readonly capacity?: number;
};

/** One instance of a service on a backend server. */
export type Instance = {
	readonly role: 'backend';
	/** The instance id; unique in the fleet. */
	readonly hostId: string;
	readonly service: string;
	readonly address: string;
	readonly port: number;
	readonly region: string;
	readonly dataCentre: string;
	readonly state: HostState;
};

/** An item of the host list. */
export type Host = EntryHost | Instance;

/** The host list as published. `sequence` increases with every change. */
export type HostList = {
	readonly sequence: number;
	readonly hosts: readonly Host[];
};

/** A page of the configuration feed: records changed after the requested position, oldest first. */
export type ConfigPage = {
	/** Position for the next request. */
	readonly position: number;
	/** True when there are no further records. */
	readonly complete: boolean;
	/** Records as written, not validated. */
	readonly records: readonly unknown[];
};
