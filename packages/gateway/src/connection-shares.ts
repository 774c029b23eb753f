/** Divides the descriptors of the process among its listeners. What is left is for instances, other gateways and the store. */

/** Descriptors that the platform keeps for files. */
const fileDescriptors = 200;

/** Shares of the others that callers and lookups may use. */
const callerShare = 0.7;
const lookupShare = 0.1;

/** Least number of connections, for a process with hardly any descriptors. */
const minConnections = 16;

/** Connections at the listeners that only the platform and operators use. */
const operatorConnections = 16;

/** Number of open connections at each listener; undefined where there is no limit. */
export type ConnectionShares = {
	readonly callers: number | undefined;
	readonly lookups: number | undefined;
	readonly readiness: number;
	readonly operators: number;
};

/** Returns the shares of a process with `maxDescriptors`, or without a limit that is known. */
export const connectionShares = (maxDescriptors: number | undefined): ConnectionShares => {
	const shareOf = (share: number): number | undefined =>
		maxDescriptors === undefined ? undefined : Math.max(minConnections, Math.floor((maxDescriptors - fileDescriptors) * share));
	return {
		callers: shareOf(callerShare), lookups: shareOf(lookupShare), readiness: operatorConnections, operators: operatorConnections,
	};
};
