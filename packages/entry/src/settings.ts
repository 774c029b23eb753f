/** Settings of `egretwing-entry`. */

import * as z from 'zod';

const maxPort = 65_535;
const port = z.int().min(0).max(maxPort);

/** Schema of the settings file. */
export const entrySettingsSchema = z.strictObject({
	/** Name of the entry host, as in the host list. */
	hostId: z.string().min(1),
	/** Address that callers connect to. */
	address: z.string().min(1),
	/** Port that callers connect to. */
	entryPort: port,
	/**
	 * Address of the agent of this host.
	 * @default "127.0.0.1"
	 */
	agentAddress: z.string().default('127.0.0.1'),
	/** Port on which the agent listens for its entry. */
	agentPort: port,
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
	 * Time in which a caller must send its request line and headers.
	 * @default 10000
	 */
	headersTimeoutMs: z.number().positive().default(10_000),
	/**
	 * Maximum time in which a caller sends no byte of its request body, or reads no byte of the response.
	 * @default 30000
	 */
	bodyIdleTimeoutMs: z.number().positive().default(30_000),
	/**
	 * Maximum number of stored idempotency keys; further ones are refused until some expire.
	 * @default 16384
	 */
	maxIdempotencyKeys: z.int().min(1).default(16_384),
	/**
	 * Maximum size of idempotency keys and their stored responses.
	 * @default 8388608
	 */
	maxIdempotencyKeyBytes: z.int().min(0).default(8_388_608),
	/**
	 * Maximum size of the headers of a request.
	 * @default 16384
	 */
	maxHeaderBytes: z.int().min(1024).default(16_384),
	/**
	 * Time in which a draining entry still accepts new requests: the time for which callers keep a locate response, plus the
	 * time that the announcement takes to reach all agents.
	 * @default 4000
	 */
	drainAcceptMs: z.number().min(0).default(4000),
	/**
	 * Maximum wait of a draining entry for requests in flight, long uploads included, before it closes their connections.
	 * @default 600000
	 */
	drainTimeoutMs: z.number().positive().default(600_000),
	/**
	 * Log verbosity, from 0 (errors) to 5 (everything).
	 * @default 3
	 */
	logLevel: z.int().min(0).max(5).default(3),
});

/** Validated settings of `egretwing-entry`. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
