import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {Agent, request} from 'undici';
import type {ConfigPage, HostList} from '@egretwing/core';
import {
	type Backend, backendSettingsSchema, type InstanceFault, type Platform, platformSettingsSchema, recordingChunks,
	recordingDigest, startBackend, startPlatform,
} from '../src/index.ts';

const service = (name: string, revision: number) => ({
	kind: 'service', schemaVersion: 2, name, revision,
});

describe('platform stand-in', () => {
	let platform: Platform;
	const read = async <T>(path: string): Promise<T> => {
		const {body} = await request(`http://127.0.0.1:${platform.port}${path}`);
		return await body.json() as T;
	};

	const publish = async (records: readonly unknown[]): Promise<void> => {
		const {body} = await request(`http://127.0.0.1:${platform.operatorPort}/v1/records`, {
			method: 'PUT', body: JSON.stringify(records),
		});
		await body.dump();
	};

	beforeEach(async () => {
		platform = await startPlatform(platformSettingsSchema.parse({records: [service('a', 1)], maxReadsPerSecond: 20, maxPageBytes: 150}));
	});
	afterEach(async () => {
		await platform.close();
	});

	it('returns only the last write of each record, oldest first', async () => {
		await publish([service('b', 1), service('a', 2)]);
		const page = await read<ConfigPage>('/v1/records?after=0');
		expect(page).to.deep.equal({position: 3, complete: true, records: [service('b', 1), service('a', 2)]});
	});

	it('answers a waiting read once something is published', async () => {
		const waiting = read<ConfigPage>('/v1/records?after=1&waitMs=5000');
		await publish([service('c', 1)]);
		const {records} = await waiting;
		expect(records).to.deep.equal([service('c', 1)]);
	});

	it('splits pages at the size limit', async () => {
		await publish([service('b', 1), service('c', 1), service('d', 1)]);
		const first = await read<ConfigPage>('/v1/records?after=0');
		expect(first).to.deep.include({position: 2, complete: false});
		expect(first.records).to.have.length(2);
		const second = await read<ConfigPage>(`/v1/records?after=${first.position}`);
		expect(second.records).to.deep.equal([service('c', 1), service('d', 1)]);
	});

	it('serves an earlier state while stale', async () => {
		await publish([service('a', 2)]);
		await platform.setFault({type: 'stale', position: 1});
		expect(await read<ConfigPage>('/v1/records?after=0')).to.deep.equal({position: 1, complete: true, records: [service('a', 1)]});
	});

	it('refuses connections while down and answers again afterwards', async () => {
		await platform.setFault({type: 'down'});
		let failure: unknown;
		try {
			await read('/v1/hosts');
		} catch (error) {
			failure = error;
		}

		expect(failure).to.be.an('error');
		await platform.setFault({type: 'ok'});
		expect(await read<HostList>('/v1/hosts')).to.deep.equal({sequence: 1, hosts: []});
	});

	it('refuses reads above the rate limit', async () => {
		const codes = await Promise.all(Array.from({length: 50}, async () => {
			const {statusCode, body} = await request(`http://127.0.0.1:${platform.port}/v1/hosts`);
			await body.dump();
			return statusCode;
		}));
		expect(codes.filter(code => code === 429)).to.have.length.within(10, 30);
	});
});

describe('backend stand-in', () => {
	let backend: Backend;
	let origin: string;
	let dispatcher: Agent;
	const send = async (path: string, options: Parameters<typeof request>[1] = {}) =>
		request(`${origin}${path}`, {
			dispatcher, headersTimeout: 300, bodyTimeout: 300, ...options,
		});

	const outcome = async (path: string, headers: Readonly<Record<string, string>> = {}): Promise<string> => {
		try {
			const answer = await send(path, {method: 'POST', headers});
			await answer.body.text();
			return String(answer.statusCode);
		} catch {
			return 'failed';
		}
	};

	beforeEach(async () => {
		backend = await startBackend(backendSettingsSchema.parse({
			instances: [{
				hostId: 'b1', service: 'seatledger', address: '127.0.2.1', port: 0, probeTimeMs: 1, queueLength: 1, slots: 1,
			}],
		}));
		origin = `http://127.0.2.1:${backend.instances.get('b1')?.port}`;
		dispatcher = new Agent();
	});
	afterEach(async () => {
		await dispatcher.destroy();
		await backend.close();
	});

	it('returns its id, the request id and the path', async () => {
		const {body} = await send('/seats/4?x=1', {headers: {'x-request-id': 'r1'}});
		expect(await body.json()).to.include({instance: 'b1', path: '/seats/4?x=1', requestId: 'r1'});
	});

	const faults: ReadonlyArray<{readonly title: string; readonly fault: InstanceFault; readonly expected: string; readonly runs: number}> = [
		{
			title: 'runs and answers without a fault', fault: {type: 'ok'}, expected: '200', runs: 1,
		},
		{
			title: 'starts work and does not answer while stalled', fault: {type: 'stall', share: 1}, expected: 'failed', runs: 1,
		},
		{
			title: 'stalls in the first half of a flap', fault: {type: 'flap', periodMs: 5000}, expected: 'failed', runs: 1,
		},
		{
			title: 'answers late when slow', fault: {type: 'slow', delayMs: 2000, share: 1}, expected: 'failed', runs: 1,
		},
		{
			title: 'answers 500 after running', fault: {type: 'errorRate', share: 1}, expected: '500', runs: 1,
		},
		{
			title: 'runs and resets the connection', fault: {type: 'resetAfterWrite', share: 1}, expected: 'failed', runs: 1,
		},
		{
			title: 'sends half of its answer', fault: {type: 'halfAnswer', share: 1}, expected: 'failed', runs: 1,
		},
		{
			title: 'crashes on a path', fault: {type: 'crash', pathPart: 'seats', restartMs: 1}, expected: 'failed', runs: 1,
		},
		{
			title: 'refuses connections when down', fault: {type: 'down'}, expected: 'failed', runs: 0,
		},
		{
			title: 'does not run while draining', fault: {type: 'drain'}, expected: '503', runs: 0,
		},
		{
			title: 'does not run while shedding', fault: {type: 'shed'}, expected: '503', runs: 0,
		},
		{
			title: 'runs but does not answer when its answers are cut',
			fault: {type: 'cut', sources: ['127.0.0.1'], direction: 'answers'},
			expected: 'failed',
			runs: 1,
		},
		{
			title: 'does not run when requests are cut',
			fault: {type: 'cut', sources: ['127.0.0.1'], direction: 'requests'},
			expected: 'failed',
			runs: 0,
		},
	];
	for (const {title, fault, expected, runs} of faults) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- each test gets a backend of its own
		it(title, async () => {
			await backend.setFault('b1', fault);
			expect(await outcome('/seats', {'x-work-id': 'w1'})).to.equal(expected);
			expect(backend.instances.get('b1')?.counts().runs).to.equal(runs);
		});
	}

	it('records the time of its first answer that reports draining', async () => {
		const firstMs = (): number | undefined => backend.instances.get('b1')?.counts().firstRefusedDrainingAtMs;
		await backend.setFault('b1', {type: 'drain'});
		expect(firstMs()).to.equal(0);
		await outcome('/seats');
		const drainingFromMs = firstMs();
		expect(drainingFromMs).to.equal(backend.instances.get('b1')?.counts().lastRequestAtMs);
		await delay(2);
		await outcome('/seats');
		expect(firstMs()).to.equal(drainingFromMs);
	});

	it('answers again once a fault ends', async () => {
		await backend.setFault('b1', {type: 'crash', pathPart: '/bad', restartMs: 60_000});
		expect(await outcome('/bad')).to.equal('failed');
		await backend.setFault('b1', {type: 'ok'});
		expect(await outcome('/good')).to.equal('200');
	});

	it('sheds requests beyond its queue', async () => {
		await backend.setFault('b1', {type: 'slow', delayMs: 50, share: 1});
		const outcomes = await Promise.all([outcome('/a'), outcome('/b'), outcome('/c')]);
		expect(outcomes.toSorted()).to.deep.equal(['200', '200', '503']);
	});

	it('reports false health on command', async () => {
		await backend.setFault('b1', {type: 'lieSick'});
		expect(await outcome('/healthz')).to.equal('503');
		await backend.setFault('b1', {type: 'ok'});
		await backend.setFault('b1', {type: 'drain'});
		await backend.setFault('b1', {type: 'lieHealthy'});
		expect(await outcome('/healthz')).to.equal('200');
	});

	it('reports work that ran twice', async () => {
		await outcome('/seats', {'x-work-id': 'w1', 'x-request-id': 'r1'});
		await outcome('/seats', {'x-work-id': 'w1', 'x-request-id': 'r2'});
		const {body} = await request(`http://127.0.0.1:${backend.operatorPort}/v1/runs`);
		expect(await body.json()).to.deep.include({repeated: {w1: 2}});
	});

	it('sends and receives recordings whose digest both ends can compute', async () => {
		const digest = recordingDigest(300_000, 7);
		const upload = await send('/recordings/a', {
			method: 'PUT', body: Buffer.concat([...recordingChunks(300_000, 7)]), headers: {'x-sha256': digest},
		});
		expect(await upload.body.json()).to.include({bytes: 300_000, sha256: digest});
		const download = await send('/recordings/a?bytes=300000&seed=7');
		const received = Buffer.from(await download.body.arrayBuffer());
		expect(createHash('sha256').update(received).digest('hex')).to.equal(digest);
		const wrong = await send('/recordings/a', {method: 'PUT', body: 'other', headers: {'x-sha256': digest}});
		expect(wrong.statusCode).to.equal(422);
	});
});
