/** Settings of `egretwing-entry`. */

import {z} from 'zod';

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
	/** Port at which the agent expects its entry. */
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
	/** Keys shared by the fleet; the first one signs, all are accepted. */
	fleetKeys: z.tuple([z.string().min(1)], z.string().min(1)),
	/**
	 * Time a caller has for sending its request line and headers.
	 * @default 10000
	 */
	headersTimeoutMs: z.number().positive().default(10_000),
	/**
	 * Longest time without a byte of a request's body from its caller, or without its caller taking a byte of the answer.
	 * @default 30000
	 */
	bodyIdleTimeoutMs: z.number().positive().default(30_000),
	/**
	 * Idempotency keys remembered at most; further ones are refused until some expire.
	 * @default 16384
	 */
	maxIdempotencyKeys: z.int().min(1).default(16_384),
	/**
	 * Bytes of idempotency keys and their stored answers at most.
	 * @default 8388608
	 */
	maxIdempotencyKeyBytes: z.int().min(0).default(8_388_608),
	/**
	 * Largest size of the headers of a request.
	 * @default 16384
	 */
	maxHeaderBytes: z.int().min(1024).default(16_384),
	/**
	 * How long a draining entry accepts new requests: as long as callers keep a locate answer, and the word takes to spread.
	 * @default 4000
	 */
	drainAcceptMs: z.number().min(0).default(4000),
	/**
	 * Longest wait for requests in flight, long uploads included, before a draining entry cuts them off.
	 * @default 600000
	 */
	drainTimeoutMs: z.number().positive().default(600_000),
	/**
	 * Detail of the logs, from 0 (errors) to 5 (everything).
	 * @default 3
	 */
	logLevel: z.int().min(0).max(5).default(3),
});

/** Checked settings of `egretwing-entry`. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
