import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {runLoad} from '../src/bench/load.ts';

describe('runLoad', () => {
	it('counts answers and refusals separately and sends at the scheduled rate', async () => {
		let requests = 0;
		const server = http.createServer((_request, response) => {
			requests++;
			response.writeHead(requests % 2 === 0 ? 503 : 200, requests % 2 === 0 ? {'egretwing-kind': 'overloaded'} : {});
			response.end();
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		const result = await runLoad({
			targets: [`http://127.0.0.1:${port}`], method: 'GET', path: '/', ratePerSecond: 200, durationMs: 1000, warmUpMs: 0, timeoutMs: 2000, seed: 7, workspaces: 2,
		});
		server.close();
		server.closeAllConnections();
		expect(result.sent).to.equal(requests);
		expect(result.answered + (result.failures.overloaded ?? 0)).to.equal(result.sent);
		expect(result.sent).to.be.within(150, 250);
	});
});
