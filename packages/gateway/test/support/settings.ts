/** Settings of a gateway under test. */

import type {GatewaySettings} from '@egretwing/gateway';

const locateOffset = 1;
const peerOffset = 2;
const operatorOffset = 3;

/** Creates settings that use four consecutive ports from `port` on; `changes` override the defaults. */
export const createTestSettings = (hostId: string, address: string, port: number, changes: Partial<GatewaySettings> = {}): GatewaySettings => ({
	hostId,
	address,
	region: 'r',
	dataCentre: 'a',
	entryPort: port,
	locatePort: port + locateOffset,
	peerPort: port + peerOffset,
	operatorPort: port + operatorOffset,
	seedAddresses: [],
	capacity: 1,
	retryLimits: {ratio: 0.2, slack: 10, windowMs: 10_000},
	quotaLimits: {windowMs: 5000, overageShare: 0.25, slack: 20},
	shutdownMs: 1500,
	// The process of the tests holds more than a gateway does.
	memoryMegabytes: 4096,
	logLevel: 0,
	...changes,
});
