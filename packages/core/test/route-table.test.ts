import {expect} from 'chai';
import {createRouteTable, type RouteRecord} from '../src/index.ts';

const route = (name: string, pathPrefix: string, methods: readonly string[] = [], revision = 1): RouteRecord => ({
	kind: 'route', name, revision, pathPrefix, methods, service: name, semantics: 'idempotent', maxBodyBytes: 1,
});

describe('createRouteTable', () => {
	const table = createRouteTable([
		route('root', '/'),
		route('seats', '/seats'),
		route('release', '/seats/release', ['POST']),
		route('trailing', '/scores/'),
		route('old', '/same', [], 1),
		route('new', '/same', [], 2),
	]);
	const cases = [
		{method: 'GET', path: '/seats', expected: 'seats'},
		{method: 'GET', path: '/seats/4', expected: 'seats'},
		{method: 'GET', path: '/seatsx', expected: 'root'},
		{method: 'POST', path: '/seats/release/9', expected: 'release'},
		{method: 'GET', path: '/seats/release/9', expected: 'seats'},
		{method: 'GET', path: '/scores/a', expected: 'trailing'},
		{method: 'GET', path: '/same/x', expected: 'new'},
		{method: 'GET', path: '/', expected: 'root'},
	];
	for (const {method, path, expected} of cases) {
		it(`sends ${method} ${path} to ${expected}`, () => {
			expect(table.match(method, path)?.name).to.equal(expected);
		});
	}

	it('finds no route when no prefix matches', () => {
		expect(createRouteTable([route('seats', '/seats')]).match('GET', '/other')).to.be.undefined;
	});
});
