/** Schemas of the platform's answers. */

import * as z from 'zod';
import type {ConfigPage, HostList} from './types.ts';

const maxPort = 65_535;
const port = z.int().min(1).max(maxPort);
const hostCommon = {
	hostId: z.string().min(1),
	address: z.string().min(1),
	region: z.string().min(1),
	dataCentre: z.string().min(1),
	state: z.enum(['live', 'leaving']),
};

const entryHost = z.object({
	role: z.literal('entry'), ...hostCommon, entryPort: port, locatePort: port, peerPort: port,
});

const instance = z.object({
	role: z.literal('backend'), ...hostCommon, service: z.string().min(1), port,
});

/** Schema of the host list. */
export const hostListSchema: z.ZodType<HostList> = z.object({
	sequence: z.int().min(0),
	hosts: z.array(z.discriminatedUnion('role', [entryHost, instance])),
});

/** Schema of a page of the configuration feed. */
export const configPageSchema: z.ZodType<ConfigPage> = z.object({
	position: z.int().min(0),
	complete: z.boolean(),
	records: z.array(z.unknown()),
});
