import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createMemoryBudget} from '@egretwing/core';
import {listen, trackCallerConnections} from '@egretwing/node';

const address = '127.0.0.1';
const megabyte = 1_048_576;
const settleMs = 200;

/** What one caller sends, and the answers that it gets. */
type Case = {
	readonly title: string;
	readonly writes: readonly string[];
	/** Size of the body that each request is answered with. */
	readonly answers: readonly number[];
};

const post = (body: string, ...fields: readonly string[]): string => ['POST / HTTP/1.1', 'host: a.example', ...fields, '', body].join('\r\n');

const large = 'x'.repeat(1_000_000);

const cases: readonly Case[] = [
	{title: 'a body of known length behind another request', writes: [post(large, 'content-length: 1000000') + post('y', 'content-length: 1')], answers: [1_000_000, 1]},
	{title: 'a body in one large chunk', writes: [post(`f4240\r\n${large}\r\n0\r\n\r\n`, 'transfer-encoding: chunked')], answers: [1_000_000]},
	{title: 'a body in chunks of one byte', writes: [post(`${'1\r\nx\r\n'.repeat(20_000)}0\r\n\r\n`, 'transfer-encoding: chunked')], answers: [20_000]},
	{title: 'a head that is cut anywhere', writes: [...post('z', 'content-length: 1', `x: ${'y'.repeat(50)}`)], answers: [1]},
	{title: 'a head larger than a slice', writes: [post('z', 'content-length: 1', `x: ${'y'.repeat(10_000)}`)], answers: [1]},
];

describe('reading in slices', () => {
	for (const {title, writes, answers} of cases) {
		it(`reads ${title} whole`, async () => {
			const server = http.createServer(async (incoming, response) => {
				const exchange = callers.begin(incoming, response, false);
				let sizeBytes = 0;
				for await (const chunk of incoming as AsyncIterable<Buffer>) {
					sizeBytes += chunk.length;
				}

				await exchange.untilTurn();
				response.end(`<${sizeBytes}>`);
			});
			const callers = trackCallerConnections(server, {memory: createMemoryBudget(10 * megabyte, megabyte)});
			const socket = net.connect({host: address, port: await listen(server, 0, address)});
			socket.setNoDelay(true);
			let text = '';
			for (const written of writes) {
				socket.write(written);
			}

			while ([...text.matchAll(/<\d+>/gv)].length < answers.length) {
				const [bytes] = await once(socket, 'data') as [Buffer];
				text += String(bytes);
			}

			expect(Array.from(text.matchAll(/<(?<sizeBytes>\d+)>/gv), ({groups}) => Number(groups!.sizeBytes))).to.deep.equal(answers);
			socket.destroy();
			server.close();
		});
	}

	// Guards against a heap that is filled by callers that send thousands of requests ahead on many connections.
	it('keeps requests sent ahead within the account, and serves all in the end', async () => {
		const memory = createMemoryBudget(20 * megabyte, 2 * megabyte);
		const callerCount = 20;
		const requestCount = 500;
		const held: Array<() => void> = [];
		let isHolding = true;
		let peakBytes = 0;
		const server = http.createServer(async (incoming, response) => {
			const exchange = callers.begin(incoming, response, false);
			peakBytes = Math.max(peakBytes, memory.objectBytes());
			if (isHolding && exchange.fitsMemory) {
				await new Promise<void>(resolve => {
					held.push(resolve);
				});
			}

			await exchange.untilTurn();
			response.end('.');
		});
		const callers = trackCallerConnections(server, {memory});
		const port = await listen(server, 0, address);
		let answered = 0;
		const sockets = Array.from({length: callerCount}, () => {
			const socket = net.connect({host: address, port});
			socket.on('data', (bytes: Buffer) => {
				answered += String(bytes).split('HTTP/1.1 200').length - 1;
			});
			socket.write('GET / HTTP/1.1\r\nhost: a.example\r\n\r\n'.repeat(requestCount));
			return socket;
		});
		await delay(settleMs);
		expect(peakBytes).to.be.at.most(memory.objectLimitBytes).and.to.be.above(0);
		expect(held.length).to.be.below(callerCount * requestCount / 10);
		isHolding = false;
		for (const release of held) {
			release();
		}

		const isDone = (): boolean => answered >= callerCount * requestCount;
		while (!isDone()) {
			await delay(10);
		}

		expect([memory.objectBytes(), memory.heldBytes()]).to.deep.equal([0, 0]);
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
});
