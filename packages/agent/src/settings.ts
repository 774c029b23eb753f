/** Settings of `egretwing-agent`. */

import * as z from 'zod';

const maxPort = 65_535;
const port = z.int().min(0).max(maxPort);

/** Schema of the settings file. */
export const agentSettingsSchema = z.strictObject({
	/** Name of the entry host, as in the host list. */
	hostId: z.string().min(1),
	/** Address of this host. */
	address: z.string().min(1),
	region: z.string().min(1),
	dataCentre: z.string().min(1),
	/** Port of the locate interface, at which callers ask which entry hosts to use. */
	locatePort: port,
	/** Port for messages between agents. */
	peerPort: port,
	/** Port that callers send their requests to. */
	entryPort: port,
	/**
	 * Address on which the agent listens for the entry of this host.
	 * @default "127.0.0.1"
	 */
	agentAddress: z.string().default('127.0.0.1'),
	/** Port on which the agent listens for the entry of this host. */
	agentPort: port,
	/** Base URL of the platform's configuration service, without a path. */
	configUrl: z.url(),
	/** Base URL of the platform's host list, without a path. */
	hostListUrl: z.url(),
	/**
	 * Address of the operators' interface.
	 * @default "127.0.0.1"
	 */
	operatorAddress: z.string().default('127.0.0.1'),
	/**
	 * Port of the operators' interface; 0 for any free port.
	 * @default 0
	 */
	operatorPort: port.default(0),
	/** Keys shared by the fleet; the first one signs, all are accepted for verification. */
	fleetKeys: z.tuple([z.string().min(1)], z.string().min(1)),
	/**
	 * Time for which callers may keep a locate response.
	 * @default 2000
	 */
	locateKeepMs: z.number().positive().default(2000),
	/**
	 * Number of agents in each data centre that read the configuration service and relay records to the others.
	 * @default 2
	 */
	relaysPerDataCentre: z.int().min(1).default(2),
	/**
	 * Log verbosity, from 0 (errors) to 5 (everything).
	 * @default 3
	 */
	logLevel: z.int().min(0).max(5).default(3),
});

/** Validated settings of `egretwing-agent`. */
export type AgentSettings = z.output<typeof agentSettingsSchema>;
