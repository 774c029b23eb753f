/** Finds the route of a request by host name and longest path prefix, and picks one of its services by weight. */

import type {Random} from '../random.ts';
import type {PrefixRoute, WeightedService} from './types.ts';

/** Routes that are looked up by host name and path. */
export type PrefixRouteTable = {
	/** The route of a path without its query, or undefined when none matches. */
	readonly match: (hostName: string, path: string) => PrefixRoute | undefined;
};

/** Creates a table of `routes`. A lookup costs one map access for each slash in the path. */
export const createPrefixRouteTable = (routes: readonly PrefixRoute[]): PrefixRouteTable => {
	const byHost = new Map<string, Map<string, PrefixRoute>>();
	for (const route of routes) {
		const byPrefix = byHost.get(route.hostName) ?? new Map<string, PrefixRoute>();
		byPrefix.set(route.pathPrefix, route);
		byHost.set(route.hostName, byPrefix);
	}

	return {
		match(hostName, path) {
			const byPrefix = byHost.get(hostName);
			if (byPrefix === undefined) {
				return undefined;
			}

			for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
				const route = byPrefix.get(path.slice(0, end + 1));
				if (route !== undefined) {
					return route;
				}
			}

			return undefined;
		},
	};
};

/** Picks the service for one request of a route at random by weight. The choice never depends on load. */
export const pickService = (services: readonly WeightedService[], random: Random): string => {
	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let left = random.next() * total;
	for (const {service, weight} of services) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return services.at(-1)!.service;
};
