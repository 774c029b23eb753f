import {randomBytes, createHash} from 'node:crypto';
import {once} from 'node:events';
import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {LocateAnswer} from '@egretwing/core';
import {
	createEntryHost, fetchJson, hostPorts, startFleet, startHost, waitUntilReady, type Fleet,
} from '../../../scripts/lib/fleet.ts';
import {networkOf} from '../../../test/support/network.ts';

/** Limit on the time until no locate response names a lost host, and on the time until a record is in force on all hosts. */
const targetMs = 3000;
const hosts = [0, 1, 2, 3, 4].map(index => createEntryHost(`e${index}`, `${networkOf(203)}.${index + 1}`, 'region-1', `dc-${index % 3}`));
const route = (revision: number) => ({
	kind: 'route', schemaVersion: 2, name: 'uploads', revision, pathPrefix: '/', service: 'scorevault', semantics: 'at-most-once',
});
const records = [{
	kind: 'service', schemaVersion: 2, name: 'scorevault', revision: 1, requestTimeoutMs: 60_000, slotsPerInstance: 64,
}, route(1)];

const locate = async (address: string): Promise<readonly string[]> => {
	const answer = await fetchJson<LocateAnswer>(`http://${address}:${hostPorts.locatePort}/v1/locate?service=scorevault`);
	return answer.entries.map(({hostId}) => hostId);
};

const countAgentsListing = async (hostId: string): Promise<number> => {
	const others = hosts.filter(host => host.hostId !== hostId);
	const answers = await Promise.all(others.map(async ({address}) => locate(address)));
	return answers.filter(entries => entries.includes(hostId)).length;
};

/** Waits until `count` agents of the other hosts list `hostId`; resolves with the elapsed time. */
const waitUntilListedBy = async (hostId: string, count: number, limitMs: number): Promise<number> => {
	const startMs = Date.now();
	while (await countAgentsListing(hostId) !== count) {
		if (Date.now() - startMs > limitMs) {
			throw new Error(`${hostId} is listed by ${await countAgentsListing(hostId)} agents after ${limitMs} ms`);
		}

		await delay(20);
	}

	return Date.now() - startMs;
};

const revisions = async (): Promise<readonly number[]> => Promise.all(hosts.map(async ({address}) => {
	const {revision} = await fetchJson<{readonly revision: number}>(`http://${address}:${hostPorts.entryOperatorPort}/v1/status`);
	return revision;
}));

type Upload = {readonly statusCode: number; readonly body: string};

/** Sends `chunks` to the entry at `address` with a pause before each. */
const upload = async (address: string, chunks: readonly Uint8Array[], pauseMs: number): Promise<Upload> => {
	const request = http.request({
		host: address, port: hostPorts.entryPort, method: 'PUT', path: '/recordings/concert',
	});
	const answered = once(request, 'response') as Promise<[http.IncomingMessage]>;
	for (const chunk of chunks) {
		request.write(chunk);
		await delay(pauseMs);
	}

	request.end();
	const [response] = await answered;
	let text = '';
	for await (const part of response) {
		text += String(part);
	}

	return {statusCode: response.statusCode ?? 0, body: text};
};

const chunks = Array.from({length: 60}, () => randomBytes(16_384));
const expectedDigest = (): string => {
	const hash = createHash('sha256');
	for (const chunk of chunks) {
		hash.update(chunk);
	}

	return hash.digest('hex');
};

describe('a fleet of five entry hosts', function () {
	this.timeout(60_000);
	let fleet: Fleet;

	const operate = async (method: string, path: string, body: unknown) =>
		fetchJson(`${fleet.platformOperatorUrl}${path}`, {method, body: JSON.stringify(body)});

	beforeEach(async () => {
		fleet = await startFleet({
			hosts,
			instances: ['b1', 'b2'].map((hostId, index) => ({
				hostId, service: 'scorevault', address: `${networkOf(204)}.${index + 1}`, port: 9000, dataCentre: 'dc-0', slots: 64,
			})),
			records,
			overrides: {agent: {logLevel: 0}, entry: {logLevel: 0}},
		});
		for (const {hostId} of hosts) {
			await waitUntilListedBy(hostId, 4, 10_000);
		}
	});

	afterEach(async () => {
		await fleet.processes.stop();
	});

	it('stops listing a killed host, a suspended one and one without its entry within 3 s, and lists the resumed one again', async () => {
		fleet.processes.child('agent-e1')!.kill('SIGKILL');
		fleet.processes.child('entry-e1')!.kill('SIGKILL');
		fleet.processes.child('entry-e2')!.kill('SIGKILL');
		fleet.processes.child('entry-e3')!.kill('SIGSTOP');
		const waitUntilNotListed = async (hostId: string) => {
			const startMs = Date.now();
			for (;;) {
				const answers = await Promise.all([0, 2, 4].map(async index => locate(hosts[index]!.address)));
				if (!answers.some(entries => entries.includes(hostId))) {
					return Date.now() - startMs;
				}

				await delay(20);
			}
		};

		const timesMs = await Promise.all(['e1', 'e2', 'e3'].map(async hostId => waitUntilNotListed(hostId)));
		expect(Math.max(...timesMs)).to.be.below(targetMs);
		fleet.processes.child('entry-e3')!.kill('SIGCONT');
		await delay(targetMs);
		expect(await locate(hosts[0]!.address)).to.include('e3');
	});

	it('never returns to an older record, even if hosts restart while the configuration service is stale or down', async () => {
		await operate('PUT', '/v1/records', [route(2)]);
		const startMs = Date.now();
		let seen = await revisions();
		while (seen.some(revision => revision !== 2)) {
			expect(Date.now() - startMs).to.be.below(targetMs);
			await delay(20);
			seen = await revisions();
		}

		await operate('POST', '/v1/fault', {type: 'stale', position: 2, sequence: 1});
		const restart = async (index: number) => {
			const host = hosts[index]!;
			for (const name of [`agent-${host.hostId}`, `entry-${host.hostId}`]) {
				const child = fleet.processes.child(name)!;
				child.kill('SIGKILL');
				await once(child, 'exit');
			}

			startHost(fleet.processes, host, fleet.platformUrl, {agent: {logLevel: 0}, entry: {logLevel: 0}});
			await waitUntilReady(`http://${host.address}:${hostPorts.entryOperatorPort}`);
			expect(await revisions()).to.deep.equal([2, 2, 2, 2, 2]);
		};

		await restart(0);
		await restart(1);
		await operate('POST', '/v1/fault', {type: 'down'});
		await restart(2);
		await restart(0);
		expect(await locate(hosts[0]!.address)).to.not.be.empty;
	});

	it('shuts down an entry without interrupting an upload, after callers are sent to other entries', async () => {
		const running = upload(hosts[1]!.address, chunks, 150);
		await delay(500);
		const entry = fleet.processes.child('entry-e1')!;
		const ended = once(entry, 'exit');
		entry.kill('SIGTERM');
		expect(await waitUntilListedBy('e1', 0, targetMs)).to.be.below(targetMs);
		const late = await upload(hosts[1]!.address, chunks.slice(0, 1), 0);
		expect(late.statusCode).to.equal(200);
		const whole = await running;
		expect(whole.statusCode).to.equal(200);
		expect(whole.body).to.include(expectedDigest());
		expect(await ended).to.deep.equal([0, null]);
	});

	it('shuts down an agent after the fleet has learned of it, without interrupting an upload through its entry', async () => {
		const running = upload(hosts[1]!.address, chunks.slice(0, 20), 150);
		await delay(500);
		const agent = fleet.processes.child('agent-e1')!;
		const ended = once(agent, 'exit');
		agent.kill('SIGTERM');
		expect(await waitUntilListedBy('e1', 0, targetMs)).to.be.below(targetMs);
		expect(await ended).to.deep.equal([0, null]);
		const whole = await running;
		expect(whole.statusCode).to.equal(200);
	});

	it('sends new requests to other instances when a backend server leaves, without interrupting uploads to it', async () => {
		const uploads = Array.from({length: 4}, async () => upload(hosts[0]!.address, chunks.slice(0, 30), 150));
		await delay(500);
		await operate('PUT', '/v1/hosts', [...hosts, ...['b1', 'b2'].map((hostId, index) => ({
			role: 'backend', hostId, service: 'scorevault', address: `${networkOf(204)}.${index + 1}`, port: 9000, region: 'region-1', dataCentre: 'dc-0', state: index === 0 ? 'leaving' : 'live',
		}))]);
		await delay(targetMs);
		const late = await Promise.all(Array.from({length: 6}, async (_, index) => upload(hosts[index % 5]!.address, chunks.slice(0, 1), 0)));
		expect(late.every(({body}) => body.includes('"b2"'))).to.be.true;
		const answers = await Promise.all(uploads);
		expect(answers.map(({statusCode}) => statusCode)).to.deep.equal([200, 200, 200, 200]);
	});
});
