/** Finds the route of a request: the longest path prefix whose methods fit. */

import type {RouteRecord} from '../config/types.ts';

/** Looks up routes. */
export type RouteTable = {
	readonly match: (method: string, path: string) => RouteRecord | undefined;
	readonly size: number;
};

const acceptsMethod = (route: RouteRecord, method: string): boolean =>
	route.methods.length === 0 || route.methods.includes(method);

/** Cuts the last segment off `prefix`; `undefined` once nothing is left. */
const shorterPrefix = (prefix: string): string | undefined => {
	if (prefix === '/') {
		return undefined;
	}

	const trimmed = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix.slice(0, prefix.lastIndexOf('/') + 1);
	return trimmed === '' ? '/' : trimmed;
};

/**
 * Creates a table over `routes`. Prefixes match at segment boundaries: `/seats` matches `/seats` and
 * `/seats/4`, not `/seatsx`. Of routes with one prefix the one with the higher revision goes first.
 * A lookup costs one map access a path segment, whatever the number of routes.
 */
export const createRouteTable = (routes: readonly RouteRecord[]): RouteTable => {
	const byPrefix = new Map<string, RouteRecord[]>();
	for (const route of routes) {
		const same = byPrefix.get(route.pathPrefix) ?? [];
		same.push(route);
		same.sort((left, right) => right.revision - left.revision || (left.name < right.name ? -1 : 1));
		byPrefix.set(route.pathPrefix, same);
	}

	return {
		match(method, path) {
			let prefix: string | undefined = path;
			while (prefix !== undefined) {
				const found = byPrefix.get(prefix)?.find(route => acceptsMethod(route, method));
				if (found) {
					return found;
				}

				prefix = shorterPrefix(prefix);
			}

			return undefined;
		},
		size: routes.length,
	};
};
