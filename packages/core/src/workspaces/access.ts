/**
 * Decides whether a request may pass by the access key that it carries, and which workspace it belongs to.
 *
 * Load pattern: each request is looked up, among the keys of half a million workspaces. A lookup costs one digest and one map access.
 */

import type {FleetConfig, PrefixRoute, Workspace} from '../catalogue/types.ts';

/** Decision on a request. */
export type AccessDecision
	/** `workspace` is absent where the request needs no key and carries none that is known. */
	= | {readonly type: 'allowed'; readonly workspace?: Workspace}
		| {readonly type: 'unknown-key'};

/** The access keys of one configuration. */
export type WorkspaceAccess = {
	/** Whether requests need a key, and instances are told the workspace. */
	readonly isKeyed: boolean;
	/** Decides by the route and the `authorization` header. */
	readonly decide: (route: PrefixRoute, authorization: string | undefined) => AccessDecision;
};

const bearerCredentials = /^bearer +(?<key>\S+) *$/iv;

/** Creates the access rules of a configuration; `digestKey` is the digest by which the configuration holds its keys. */
export const createWorkspaceAccess = ({workspaces}: Pick<FleetConfig, 'workspaces'>, digestKey: (key: string) => string): WorkspaceAccess => {
	const byDigest = new Map<string, Workspace>();
	for (const workspace of workspaces ?? []) {
		for (const digest of workspace.keyDigests) {
			byDigest.set(digest, workspace);
		}
	}

	const find = (authorization: string): Workspace | undefined => {
		const key = bearerCredentials.exec(authorization)?.groups?.key;
		return key === undefined ? undefined : byDigest.get(digestKey(key));
	};

	return {
		isKeyed: workspaces !== undefined,
		decide(route, authorization) {
			if (workspaces === undefined) {
				return {type: 'allowed'};
			}

			const workspace = authorization === undefined ? undefined : find(authorization);
			if (workspace !== undefined) {
				return {type: 'allowed', workspace};
			}

			return route.isPublic === true ? {type: 'allowed'} : {type: 'unknown-key'};
		},
	};
};
