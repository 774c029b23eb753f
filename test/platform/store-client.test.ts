import {Buffer} from 'node:buffer';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {maxEra, toStoreOrder} from '@egretwing/core';
import {createStoreClient} from '../../platform/store-client.ts';

const address = '127.0.0.1';

/** `era` is the header Store-Era. */
type Answer = {readonly statusCode: number; readonly body?: unknown; readonly era?: number | string} | 'reset' | 'silent';

/** Starts a store that gives the next of `answers` to each call. */
const startStore = async (answers: readonly Answer[]) => {
	const calls: string[] = [];
	const queue = [...answers];
	const server = http.createServer((request, response) => {
		calls.push(request.url ?? '');
		const answer = queue.shift() ?? 'silent';
		if (answer === 'silent') {
			return;
		}

		if (answer === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		response.writeHead(answer.statusCode, {'content-type': 'application/json', ...(answer.era !== undefined && {'Store-Era': answer.era})});
		response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	const client = createStoreClient(address, (server.address() as AddressInfo).port, address);
	return {
		client,
		calls,
		close() {
			client.close();
			server.close();
			server.closeAllConnections();
		},
	};
};

const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64');

const registration = {
	address: '10.0.0.1:80', born: 1, info: {service: 's', zone: 'a', slots: 1}, status: {state: 'ready', sequence: 1, warmup_left_ms: 0},
};

const item = (id: string, revision: number, value: unknown = registration) => ({
	key: `servers/${id}`, value: encode(value), revision, created: 1, lease: 0,
});

const largeConfig = {
	version: '0000000c',
	routes: {
		columns: ['name', 'host', 'prefix', 'route_type', 'timeout_ms', 'target_latency_ms', 'priority', 'max_attempts', 'service'],
		rows: Array.from({length: 1440}, (_, index) => [`route-${index}`, `host-${index}.example`, `/prefix-${index}/`, 'safe', 1500, 800, 2, 2, 's1']),
	},
	services: {columns: ['name', 'health_check_path', 'max_connections'], rows: [['s1', '/health', 390]]},
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
};

/** Starts a store that sends `body` at a constant rate; with `isComplete` false, it never ends the answer. */
const startPacedStore = async (body: string, bytesPerMs: number, isComplete = true) => {
	const paceMs = 20;
	const server = http.createServer(async (_request, response) => {
		response.writeHead(200, {'content-type': 'application/json'});
		for (let offset = 0; offset < body.length; offset += bytesPerMs * paceMs) {
			response.write(body.slice(offset, offset + (bytesPerMs * paceMs)));
			await delay(paceMs);
		}

		if (isComplete) {
			response.end();
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	const client = createStoreClient(address, (server.address() as AddressInfo).port, address);
	return {
		client,
		close() {
			client.close();
			server.close();
			server.closeAllConnections();
		},
	};
};

/** Starts a store whose answers never end; `takenBytes` counts what was handed over to the operating system. */
const startEndlessStore = async (start: string) => {
	const sockets = new Set<net.Socket>();
	const piece = 'x'.repeat(65_536);
	let takenBytes = 0;
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		const send = (): void => {
			socket.write(piece, error => {
				if (!error) {
					takenBytes += piece.length;
					setImmediate(send);
				}
			});
		};

		socket.once('data', () => {
			socket.write(start);
			send();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	const client = createStoreClient(address, (server.address() as AddressInfo).port, address);
	return {
		client,
		takenBytes: () => takenBytes,
		close() {
			client.close();
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

/** Maximum bytes that the client and the buffers of a connection take of an endless answer. */
const maxTakenBytes = 50_331_648;

describe('client of the store', () => {
	const endless: ReadonlyArray<readonly [title: string, start: string]> = [
		['bytes that are no answer', ''],
		['a header', 'HTTP/1.1 200 OK\r\nx-long: '],
		['a body without a length', 'HTTP/1.1 200 OK\r\n\r\n'],
		['a body with a length', 'HTTP/1.1 200 OK\r\ncontent-length: 100000000000\r\n\r\n'],
		['the body of a refusal', 'HTTP/1.1 503 Busy\r\n\r\n'],
	];
	for (const [title, start] of endless) {
		it(`cuts off ${title} without end`, async () => {
			const {client, takenBytes, close} = await startEndlessStore(start);
			const result = await client.readAll('config');
			expect(result.isErr()).to.equal(true);
			expect(takenBytes()).to.be.below(maxTakenBytes);
			close();
		});
	}

	it('reads all pages and watches from the revision of the first', async () => {
		const {client, calls, close} = await startStore([
			{statusCode: 200, body: {items: [item('i-1', 3)], truncated: true, as_of: 5}},
			{statusCode: 200, body: {items: [item('i-2', 7)], truncated: false, as_of: 8}},
		]);
		const result = await client.readAll('instances');
		const read = result.unwrap();
		expect(read.entries.map(({instanceId, revision}) => [instanceId, revision])).to.deep.equal([['i-1', 3], ['i-2', 7]]);
		expect(read.asOf).to.equal(5);
		expect(calls).to.deep.equal(['/kv-range?prefix=servers%2F', '/kv-range?prefix=servers%2F&after=servers%2Fi-1']);
		close();
	});

	// Guards against a read that goes on for ever and takes more memory with each page.
	it('refuses pages that do not advance', async () => {
		const page = {statusCode: 200, body: {items: [item('i-1', 3)], truncated: true, as_of: 5}};
		const {client, calls, close} = await startStore([page, page, page, page]);
		const read = await client.readAll('instances');
		expect([read.isErr() && read.error, calls.length]).to.deep.equal(['undecodable', 2]);
		close();
	});

	it('applies removals, and refuses malformed entries, whose instances count as removed', async () => {
		const {client, close} = await startStore([{
			statusCode: 200,
			body: {
				events: [
					{key: 'servers/i-1', revision: 9, tombstone: true},
					item('i-2', 10, {address: 4}),
					{...item('i-3', 11), value: '%%%'},
					item('i-4', 12),
					item('', 13),
				], as_of: 13,
			},
		}]);
		const result = await client.watch('instances', 8, 10);
		const read = result.unwrap();
		expect(read.entries.map(({instanceId, record}) => [instanceId, record !== null])).to.deep.equal([['i-1', false], ['i-2', false], ['i-3', false], ['i-4', true]]);
		expect(read.refused.map(({key}) => key)).to.deep.equal(['servers/i-2', 'servers/i-3']);
		close();
	});

	it('treats a configuration that has not been written yet as absent', async () => {
		const {client, close} = await startStore([{statusCode: 404}]);
		const result = await client.readAll('config');
		expect(result.unwrap().config).to.equal(undefined);
		close();
	});

	const paces: ReadonlyArray<readonly [title: string, bytesPerMs: number]> = [['10', 1250], ['1.25', 156]];
	for (const [title, bytesPerMs] of paces) {
		it(`reads a large configuration over a link of ${title} Mbit/s`, async () => {
			const {client, close} = await startPacedStore(JSON.stringify({
				key: 'op/config', value: encode(largeConfig), revision: 4, created: 1, lease: 0, as_of: 5,
			}), bytesPerMs);
			const result = await client.readAll('config');
			expect(result.unwrap().config?.routes).to.have.length(largeConfig.routes.rows.length);
			close();
		});
	}

	it('reports silent after an answer that would take more than 2 s', async () => {
		const {client, close} = await startPacedStore(' '.repeat(4000), 1);
		const beganAtMs = performance.now();
		const result = await client.readAll('config');
		expect(result.unwrapErr()).to.equal('silent');
		expect(performance.now() - beganAtMs).to.be.below(2000);
		close();
	});

	it('reports silent after an answer that stops midway', async () => {
		const {client, close} = await startPacedStore('{"key":', 1250, false);
		const beganAtMs = performance.now();
		const result = await client.readAll('config');
		expect(result.unwrapErr()).to.equal('silent');
		expect(performance.now() - beganAtMs).to.be.below(1000);
		close();
	});

	it('times out a watch with a slow answer sooner than a read, so that another reader takes over', async () => {
		const {client, close} = await startPacedStore(' '.repeat(4000), 1);
		const beganAtMs = performance.now();
		const result = await client.watch('instances', 1, 10);
		expect(result.unwrapErr()).to.equal('silent');
		expect(performance.now() - beganAtMs).to.be.below(1000);
		close();
	});

	const failures: ReadonlyArray<readonly [answer: Answer, failure: string]> = [
		[{statusCode: 410}, 'history-gone'],
		[{statusCode: 503}, 'turned-away'],
		[{statusCode: 429}, 'turned-away'],
		[{statusCode: 600}, 'undecodable'],
		[{statusCode: 999}, 'undecodable'],
		[{statusCode: 200, body: {other: true}}, 'undecodable'],
		['reset', 'unreachable'],
		['silent', 'silent'],
	];
	for (const [answer, failure] of failures) {
		it(`reports ${failure} after ${typeof answer === 'string' ? answer : `status ${answer.statusCode}`}`, async () => {
			const {client, close} = await startStore([answer]);
			const result = await client.watch('instances', 1, 10);
			expect(result.unwrapErr()).to.equal(failure);
			close();
		});
	}

	const page = (era: number | string | undefined, asOf: number, truncated = false): Answer => ({
		statusCode: 200, ...(era !== undefined && {era}), body: {items: [item(`i-${asOf}`, asOf)], truncated, as_of: asOf},
	});
	const changes = (era: number | undefined, asOf: number): Answer => ({statusCode: 200, ...(era !== undefined && {era}), body: {events: [item('i-1', asOf)], as_of: asOf}});
	type Step = readonly [call: 'read' | 'config' | number, answer: Answer, result: number | string];
	const order = (revision: number): number => toStoreOrder(3, revision);
	const eraCases: ReadonlyArray<readonly [title: string, steps: readonly Step[]]> = [
		['counts revisions as they are in a store that names no era', [['read', page(undefined, 7), 7], [7, changes(undefined, 9), 9]]],
		['orders revisions by era', [['read', page(3, 7), order(7)], [order(7), changes(3, 9), order(9)]]],
		[
			'does not watch on across a change of era, although the revision is there',
			[['read', page(3, 7), order(7)], [order(7), changes(4, 9), 'era-changed'], ['read', page(4, 9), toStoreOrder(4, 9)]],
		],
		['does not watch on from an era that another gateway has read', [[toStoreOrder(4, 7), changes(3, 9), 'era-changed']]],
		['does not watch on from revisions that were read where no era was named', [[7, changes(3, 9), 'era-changed']]],
		['reports a revision that the later era does not have as gone', [[order(7), {statusCode: 410, era: 4}, 'history-gone']]],
		[
			'refuses a read that comes late from the earlier era',
			[[order(7), {statusCode: 503, era: 4}, 'turned-away'], ['read', page(3, 9), 'outdated'], ['config', {statusCode: 404, era: 3}, 'outdated']],
		],
		['orders the absence of a configuration by era', [['config', {statusCode: 404, era: 3}, order(0)]]],
		['refuses an era that is no number', [['read', page('x', 7), 'undecodable']]],
		['refuses an era above the highest', [['read', page(maxEra + 1, 7), 'undecodable']]],
		['refuses a revision that would count into the next era', [['read', page(1, 2 ** 42), 'undecodable']]],
	];
	for (const [title, steps] of eraCases) {
		it(title, async () => {
			const {client, calls, close} = await startStore(steps.map(([, answer]) => answer));
			const results: Array<number | string> = [];
			for (const [call] of steps) {
				const result = typeof call === 'number' ? await client.watch('instances', call, 10) : await client.readAll(call === 'read' ? 'instances' : 'config');
				results.push(result.isOk() ? result.value.asOf : result.error);
			}

			expect(results).to.deep.equal(steps.map(step => step[2]));
			expect(calls.filter(call => call.includes('kv-watch')).every(call => Number(new URL(call, 'http://s').searchParams.get('after')) === 7)).to.equal(true);
			close();
		});
	}

	it('refuses pages of different eras', async () => {
		const {client, close} = await startStore([page(3, 7, true), page(4, 8)]);
		const result = await client.readAll('instances');
		expect(result.unwrapErr()).to.equal('outdated');
		close();
	});
});
