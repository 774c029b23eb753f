import {expect} from 'chai';
import {waitUntil} from './support/caller.ts';
import {startHarness} from './support/harness.ts';

describe('operators\' interface of the entry', () => {
	it('drains on request, reports it, and closes when drained', async () => {
		const harness = await startHarness({records: [], instances: []});
		const url = `http://127.0.0.1:${harness.entry.operatorPort}`;
		const drained = await fetch(`${url}/v1/drain`, {method: 'POST'});
		expect(await drained.json()).to.include({draining: true});
		await waitUntil(() => harness.agent.received.some(({type}) => type === 'draining'));
		await harness.close();
		let failure: unknown;
		try {
			await fetch(`${url}/v1/status`);
		} catch (error) {
			failure = error;
		}

		expect(failure).to.be.an('error');
	});

	it('does not drain on a GET request', async () => {
		const harness = await startHarness({records: [], instances: []});
		const response = await fetch(`http://127.0.0.1:${harness.entry.operatorPort}/v1/drain`);
		expect(response.status).to.equal(404);
		await harness.close();
	});
});
