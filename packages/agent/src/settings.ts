/** Settings of `egretwing-agent`. */

import {z} from 'zod';

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
	/** Port at which callers ask which addresses to use. */
	locatePort: port,
	/** Port at which the agents talk to each other. */
	peerPort: port,
	/** Port that callers send their requests to. */
	entryPort: port,
	/**
	 * Address at which the entry of this host is expected.
	 * @default "127.0.0.1"
	 */
	agentAddress: z.string().default('127.0.0.1'),
	/** Port at which the entry of this host is expected. */
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
	/** Keys shared by the fleet; the first one signs, all are accepted. */
	fleetKeys: z.tuple([z.string().min(1)], z.string().min(1)),
	/**
	 * How long callers may keep a locate answer.
	 * @default 2000
	 */
	locateKeepMs: z.number().positive().default(2000),
	/**
	 * Agents in each data centre that watch the configuration service; the others hear from them.
	 * @default 2
	 */
	relaysPerDataCentre: z.int().min(1).default(2),
	/**
	 * Detail of the logs, from 0 (errors) to 5 (everything).
	 * @default 3
	 */
	logLevel: z.int().min(0).max(5).default(3),
});

/** Checked settings of `egretwing-agent`. */
export type AgentSettings = z.output<typeof agentSettingsSchema>;
