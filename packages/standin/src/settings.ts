/** Settings of both stand-ins, read from a JSON file. */

import * as z from 'zod';

const maxPort = 65_535;
const port = z.int().min(0).max(maxPort);
const durationMs = z.number().min(0);
const loopback = '127.0.0.1';

/** Schema of the settings of the platform stand-in. */
export const platformSettingsSchema = z.strictObject({
	/**
	 * Address that readers connect to.
	 * @default '127.0.0.1'
	 */
	address: z.string().default(loopback),
	/**
	 * Port that readers connect to; 0 for any free one.
	 * @default 0
	 */
	port: port.default(0),
	/**
	 * Address of the operators' interface: publishing, faults and counts.
	 * @default '127.0.0.1'
	 */
	operatorAddress: z.string().default(loopback),
	/**
	 * Port of the operators' interface; 0 for any free one.
	 * @default 0
	 */
	operatorPort: port.default(0),
	/**
	 * Reads answered per second; more are refused with 429.
	 * @default 2000
	 */
	maxReadsPerSecond: z.int().min(1).default(2000),
	/**
	 * Largest page of records in bytes.
	 * @default 1048576
	 */
	maxPageBytes: z.int().min(1).default(1_048_576),
	/**
	 * Records published at the start, without validation.
	 * @default []
	 */
	records: z.array(z.unknown()).default([]),
	/**
	 * Hosts published at the start.
	 * @default []
	 */
	hosts: z.array(z.unknown()).default([]),
});

/** Settings of the platform stand-in. */
export type PlatformSettings = Readonly<z.output<typeof platformSettingsSchema>>;

/** Schema of one instance. */
export const instanceSettingsSchema = z.strictObject({
	/** Instance id, unique in the fleet. */
	hostId: z.string().min(1),
	service: z.string().min(1),
	/** Address that the instance listens on. */
	address: z.string().min(1),
	/** Port that the instance listens on; 0 for any free one. */
	port,
	/**
	 * Number of requests that run at the same time.
	 * @default 4
	 */
	slots: z.int().min(1).default(4),
	/**
	 * Number of requests that can wait for a slot; more are shed with 503.
	 * @default 32
	 */
	queueLength: z.int().min(0).default(32),
	/**
	 * Maximum number of open connections; more are reset at once.
	 * @default 400
	 */
	connections: z.int().min(1).default(400),
	/**
	 * Time for which a request holds its slot.
	 * @default 4
	 */
	serviceTimeMs: durationMs.default(4),
	/**
	 * Delay before a new connection is served.
	 * @default 1
	 */
	connectTimeMs: durationMs.default(1),
	/**
	 * Time until `/healthz` and `/loadz` answer.
	 * @default 25
	 */
	probeTimeMs: durationMs.default(25),
	/**
	 * Time after a start during which the service time is multiplied by `coldFactor`.
	 * @default 0
	 */
	coldStartMs: durationMs.default(0),
	/**
	 * Factor of the service time during `coldStartMs`.
	 * @default 5
	 */
	coldFactor: z.number().min(1).default(5),
});

/** Settings of one instance. */
export type InstanceSettings = Readonly<z.output<typeof instanceSettingsSchema>>;

/** Schema of the settings of the backend stand-in. */
export const backendSettingsSchema = z.strictObject({
	/**
	 * Address of the operators' interface: faults and counts.
	 * @default '127.0.0.1'
	 */
	operatorAddress: z.string().default(loopback),
	/**
	 * Port of the operators' interface; 0 for any free one.
	 * @default 0
	 */
	operatorPort: port.default(0),
	/**
	 * Random seed of faults that apply to a share of the requests.
	 * @default 1
	 */
	seed: z.int().default(1),
	/** Instances that run in this process. */
	instances: z.array(instanceSettingsSchema).min(1),
});

/** Settings of the backend stand-in. */
export type BackendSettings = Readonly<z.output<typeof backendSettingsSchema>>;
