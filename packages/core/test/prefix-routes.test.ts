import {expect} from 'chai';
import {
	createPrefixRouteTable, createRandom, pickService, type PrefixRoute,
} from '@egretwing/core';

const route = (hostName: string, pathPrefix: string): PrefixRoute => ({
	name: `${hostName}${pathPrefix}`, hostName, pathPrefix, semantics: 'idempotent', timeoutMs: 1, latencyObjectiveMs: 1, maxAttempts: 1, rank: 0, services: [{service: 's', weight: 1}],
});

describe('prefix routes', () => {
	const table = createPrefixRouteTable([route('a', '/x/'), route('a', '/x/y/'), route('b', '/')]);
	const cases: ReadonlyArray<readonly [hostName: string, path: string, name: string | undefined]> = [
		['a', '/x/1', 'a/x/'],
		['a', '/x/y/1', 'a/x/y/'],
		['a', '/x/y', 'a/x/'],
		['a', '/x', undefined],
		['a', '/', undefined],
		['b', '/any/thing', 'b/'],
		['c', '/x/1', undefined],
		['a', '', undefined],
	];
	for (const [hostName, path, name] of cases) {
		it(`finds ${name ?? 'no route'} for ${hostName}${path}`, () => {
			expect(table.match(hostName, path)?.name).to.equal(name);
		});
	}

	it('divides requests by weight', () => {
		const random = createRandom(1);
		const services = [{service: 'a', weight: 90}, {service: 'b', weight: 10}, {service: 'c', weight: 0}];
		const drawn = Array.from({length: 5000}, () => pickService(services, random));
		const share = (service: string): number => drawn.filter(each => each === service).length / drawn.length;
		expect(share('a')).to.be.closeTo(0.9, 0.03);
		expect(share('c')).to.equal(0);
	});
});
