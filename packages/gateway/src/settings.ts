/** Settings of the gateway. */

import * as z from 'zod';

/** Memory of the machine where the settings name none. */
const defaultMemoryMegabytes = 350;

/** Largest share of hedges that can be set: beyond it, answers that are not slow would be hedged as well. */
const maxHedgeShare = 0.2;

const defaultHedgeWindowMs = 10_000;

/** Quotas hold over five seconds with a quarter and 20 requests to spare. */
const defaultQuotaLimits = {windowMs: 5000, overageShare: 0.25, slack: 20};

const port = z.int().min(1).max(65_535);

/** Schema of the settings. */
export const gatewaySettingsSchema = z.object({
	hostId: z.string().min(1),
	address: z.string().min(1),
	region: z.string(),
	dataCentre: z.string().min(1),
	/** Port for requests of callers. */
	entryPort: port,
	/** Port at which callers ask which gateways to use. */
	locatePort: port,
	/** Port for messages between gateways, UDP and TCP. */
	peerPort: port,
	/** Port for metrics and status. */
	operatorPort: port,
	/** Addresses of gateways through which to join the fleet. */
	seedAddresses: z.array(z.string()).readonly(),
	/** Capacity relative to other gateways. */
	capacity: z.number().positive(),
	/** Retry budget of a service over all gateways: `ratio` of its requests plus `slack` retries within each window. */
	retryLimits: z.object({ratio: z.number().min(0), slack: z.number().min(0), windowMs: z.number().positive()}),
	/** Limit on the extra work by which the slowest answers of idempotent requests are cut; absent: no such hedges. */
	hedging: z.object({
		/** Hedges of a service over all gateways, as a share of its requests. */
		maxExtraShare: z.number().min(0).max(maxHedgeShare),
		/** Time over which they are counted, and latencies are observed. */
		windowMs: z.number().positive().default(defaultHedgeWindowMs),
	}).optional(),

	/** How strictly quotas of workspaces hold over all gateways: the share of the limit, and the requests beyond it, that may be admitted in a window. */
	quotaLimits: z.object({windowMs: z.number().positive(), overageShare: z.number().min(0), slack: z.number().min(0)}).default(defaultQuotaLimits),
	/** Time within which the process has to end after a shutdown signal. */
	shutdownMs: z.number().positive(),
	/** Number of usable gateways in a data centre for each one that its callers are told; defaults to that of `placeCallers`. */
	membersPerNamed: z.number().min(1).optional(),
	/** Memory of the machine that the process may use, in megabytes; bounds what it holds for callers. */
	memoryMegabytes: z.number().positive().default(defaultMemoryMegabytes),
	/** Descriptors that the process may open; bounds the connections of callers. No limit where it is absent. */
	maxDescriptors: z.int().positive().optional(),
	/** Verbosity of the log, from 0 (errors only) to 4 (everything). */
	logLevel: z.int().min(0).max(4),
}).readonly();

/** Validated settings of the gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
