/** Finds the route of a request: of those that accept its method, the one with the longest matching path prefix. */

import type {RouteRecord} from '../config/types.ts';

/** Routes that are looked up by method and path. */
export type RouteTable = {
	readonly match: (method: string, path: string) => RouteRecord | undefined;
	readonly size: number;
};

const acceptsMethod = (route: RouteRecord, method: string): boolean =>
	route.methods.length === 0 || route.methods.includes(method);

/** Removes the trailing slash of `prefix` or, without one, its last segment; `undefined` for `/`. */
const shorterPrefix = (prefix: string): string | undefined => {
	if (prefix === '/') {
		return undefined;
	}

	const trimmed = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix.slice(0, prefix.lastIndexOf('/') + 1);
	return trimmed === '' ? '/' : trimmed;
};

/**
 * Creates a table of `routes`. Prefixes match at segment boundaries: `/seats` matches `/seats` and
 * `/seats/4`, but not `/seatsx`. Of the routes with the same prefix, that with the highest revision is tried first.
 * A lookup costs about two map accesses for each path segment, whatever the number of routes.
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
