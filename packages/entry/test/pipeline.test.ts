import {expect} from 'chai';
import {startFakeBackend, startHarness} from './support/harness.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'rosterview', revision: 1,
};
const route = {
	kind: 'route', schemaVersion: 2, name: 'rosters', revision: 1, pathPrefix: '/rosters', service: 'rosterview', semantics: 'idempotent', maxBodyBytes: 8,
};

describe('pipeline', () => {
	it('forwards a request to an instance and returns its response', async () => {
		const backend = await startFakeBackend('b1', 'rosterview', (request, response) => {
			response.end(`${request.method} ${request.url}`);
		});
		const harness = await startHarness({records: [service, route], instances: [backend.instance]});
		const response = await fetch(`${harness.url}/rosters/4?voice=alto`);
		expect(await response.text()).to.equal('GET /rosters/4?voice=alto');
		expect(response.headers.get('egretwing-instance')).to.equal('b1');
		await harness.close();
		backend.close();
	});

	const refusals = [
		{
			title: 'a path without a route', path: '/other', kind: 'no-route', statusCode: 404,
		},
		{
			title: 'a service without instances', path: '/rosters', kind: 'no-capacity', statusCode: 503,
		},
		{
			title: 'a deadline that is not a number', path: '/rosters', headers: {'egretwing-deadline-ms': 'x'}, kind: 'malformed-request', statusCode: 400,
		},
		{
			title: 'a body over the limit of the route', path: '/rosters', method: 'POST', body: '123456789', kind: 'request-too-large', statusCode: 413,
		},
	];
	for (const {title, path, kind, statusCode, headers, method, body} of refusals) {
		it(`refuses ${title} as not run`, async () => {
			const harness = await startHarness({records: [service, route], instances: []});
			const response = await fetch(harness.url + path, {...(headers && {headers}), ...(method && {method, body})});
			expect(response.status).to.equal(statusCode);
			expect(await response.json()).to.include({kind, ran: 'not-run'});
			expect(response.headers.get('egretwing-ran')).to.equal('not-run');
			await harness.close();
		});
	}
});
