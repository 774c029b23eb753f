/** Settings of the gateway. */

import {z} from 'zod';

const port = z.int().min(1).max(65_535);

/** Schema of the settings; every default is a safe one for a small deployment. */
export const gatewaySettingsSchema = z.object({
	hostId: z.string().min(1),
	address: z.string().min(1),
	region: z.string(),
	dataCentre: z.string().min(1),
	/** Where callers send requests. */
	entryPort: port,
	/** Where callers ask which gateways to use. */
	locatePort: port,
	/** Where gateways talk to each other (UDP and TCP). */
	peerPort: port,
	/** Where operators read metrics and status. */
	operatorPort: port,
	/** Addresses of gateways to join through. */
	seedAddresses: z.array(z.string()).readonly(),
	/** Strength relative to other gateways. */
	capacity: z.number().positive(),
	/** Repeated sends to a service over all gateways: a share of its requests and a number besides, within a window. */
	retryLimits: z.object({ratio: z.number().min(0), slack: z.number().min(0), windowMs: z.number().positive()}),
	/** Time after a request to shut down within which the process has to end. */
	shutdownMs: z.number().positive(),
	/** Usable gateways of a data centre for each one that its callers are told; the default is that of the placement. */
	membersPerNamed: z.number().min(1).optional(),
	/** Least severe log lines that are written: 0 errors only to 4 everything. */
	logLevel: z.int().min(0).max(4),
}).readonly();

/** Checked settings of the gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
