import {createWorkspaceAccess, type PrefixRoute, type Workspace} from '@egretwing/core';
import {expect} from 'chai';

const digestKey = (key: string): string => `digest of ${key}`;

const route: PrefixRoute = {
	name: 'r', hostName: 'a.example', pathPrefix: '/r/', semantics: 'idempotent', timeoutMs: 1000, latencyObjectiveMs: 800, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
};
const publicRoute: PrefixRoute = {...route, isPublic: true};

const first: Workspace = {name: 'first', keyDigests: ['k1', 'k2'].map(key => digestKey(key))};
const second: Workspace = {name: 'second', keyDigests: [digestKey('k3')]};

describe('access of workspaces', () => {
	const cases: ReadonlyArray<readonly [title: string, route: PrefixRoute, authorization: string | undefined, expected: string]> = [
		['a key of a workspace', route, 'Bearer k1', 'first'],
		['another key of the same workspace', route, 'Bearer k2', 'first'],
		['a key of another workspace', route, 'Bearer k3', 'second'],
		['a scheme in other case', route, 'bearer k1', 'first'],
		['spaces around the key', route, 'Bearer  k1 ', 'first'],
		['an unknown key', route, 'Bearer k4', 'unknown-key'],
		['the digest of a key in place of the key', route, `Bearer ${digestKey('k1')}`, 'unknown-key'],
		['no key', route, undefined, 'unknown-key'],
		['another scheme', route, 'Basic k1', 'unknown-key'],
		['a scheme without a key', route, 'Bearer', 'unknown-key'],
		['a key on a public route', publicRoute, 'Bearer k1', 'first'],
		['an unknown key on a public route', publicRoute, 'Bearer k4', 'allowed'],
		['no key on a public route', publicRoute, undefined, 'allowed'],
	];
	for (const [title, of, authorization, expected] of cases) {
		it(`decides ${expected} on a request with ${title}`, () => {
			const decision = createWorkspaceAccess({workspaces: [first, second]}, digestKey).decide(of, authorization);
			expect(decision.type === 'allowed' ? decision.workspace?.name ?? 'allowed' : decision.type).to.equal(expected);
		});
	}

	it('allows all requests without a workspace where the configuration has none', () => {
		const access = createWorkspaceAccess({}, digestKey);
		expect(access.isKeyed).to.equal(false);
		expect(access.decide(route, 'Bearer k1')).to.deep.equal({type: 'allowed'});
	});

	it('allows no request where the configuration has an empty list of workspaces', () => {
		expect(createWorkspaceAccess({workspaces: []}, digestKey).decide(route, 'Bearer k1').type).to.equal('unknown-key');
	});
});
