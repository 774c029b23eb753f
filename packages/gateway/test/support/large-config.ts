/** A configuration of many routes with random names, which hardly compress. */

import {createRandom, type FleetConfig} from '@egretwing/core';

const usualRouteCount = 1440;
const serviceCount = 40;
const nameRange = 1e9;
const nameRadix = 36;

/** Creates the configuration of `version`; versions differ in one timeout only. */
export const createLargeConfig = (version: number, routeCount = usualRouteCount): FleetConfig => {
	const random = createRandom(7);
	const drawName = (): string => Math.floor(random.next() * nameRange).toString(nameRadix);
	return {
		version,
		routes: Array.from({length: routeCount}, (_, index) => ({
			name: `route-${drawName()}`,
			hostName: `${drawName()}.example`,
			pathPrefix: `/${drawName()}/`,
			semantics: index % 3 === 0 ? 'idempotent' : 'at-most-once',
			timeoutMs: index === 0 ? version : 2000 + (index % 7 * 500),
			latencyObjectiveMs: 200 + (index % 5 * 100),
			maxAttempts: 1 + (index % 3),
			rank: index % 4,
			services: index % 10 === 0
				? [{service: `service-${index % serviceCount}`, weight: 3}, {service: `service-${index % (serviceCount - 3)}`, weight: 1}]
				: [{service: `service-${index % serviceCount}`, weight: 1}],
		})),
		services: Array.from({length: serviceCount}, (_, index) => ({name: `service-${index}`, healthPath: '/health', connectionsPerInstance: 64})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 2000, idleTimeoutMs: 5000,
		},
	};
};
