import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {maxConcurrentRequests, maxReadAheadBytes, maxReadAheadRequests} from '@egretwing/core';
import {trackCallerConnections, type CallerConnections, type CallerExchange} from '@egretwing/node';

const address = '127.0.0.1';

/** Most that is parsed of a connection before it is looked at again. */
const sliceBytes = 4096;

const settleMs = 100;

type Begun = {readonly exchange: CallerExchange; readonly response: http.ServerResponse};

const get = 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n';

describe('connections of callers', () => {
	const begun: Begun[] = [];
	let server: http.Server;
	let callers: CallerConnections;
	let socket: net.Socket;
	let receivedBytes = 0;
	let isClosed = false;

	beforeEach(async () => {
		begun.length = 0;
		receivedBytes = 0;
		isClosed = false;
		server = http.createServer((incoming, response) => {
			begun.push({exchange: callers.begin(incoming, response, false), response});
		});
		callers = trackCallerConnections(server);
		await new Promise<void>(resolve => {
			server.listen(0, address, resolve);
		});
		socket = net.connect((server.address() as AddressInfo).port, address);
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			receivedBytes += chunk.length;
		});
		socket.once('close', () => {
			isClosed = true;
		});
		await new Promise<void>(resolve => {
			socket.once('connect', resolve);
		});
	});

	afterEach(() => {
		socket.destroy();
		server.close();
		server.closeAllConnections();
	});

	const answer = async (fromIndex: number, untilIndex: number): Promise<void> => {
		for (let index = fromIndex; index < untilIndex; index++) {
			while (begun.length <= index) {
				await delay(1);
			}

			const {exchange, response} = begun[index]!;
			await exchange.untilStart('repeatable');
			await exchange.untilTurn();
			response.end();
		}
	};

	it('are not read on while too many requests are unanswered, also when a body is read, and are read to their end', async () => {
		const count = 5000;
		socket.write(get.repeat(count));
		await delay(settleMs);
		const limit = maxReadAheadRequests + Math.ceil(sliceBytes / get.length);
		expect(begun.length).to.be.within(maxReadAheadRequests, limit);
		for (const {response} of begun) {
			response.req.resume();
		}

		await delay(settleMs);
		expect(begun.length).to.be.at.most(limit);
		await answer(0, maxReadAheadRequests);
		await delay(settleMs);
		expect(begun.length).to.be.at.most(limit + maxReadAheadRequests);
		await answer(maxReadAheadRequests, count);
		expect(begun).to.have.length(count);
	});

	it('are not read on while too much of bodies is held', async () => {
		socket.write(get);
		await delay(settleMs);
		begun[0]!.exchange.recordBody(maxReadAheadBytes);
		socket.write(get);
		await delay(settleMs);
		expect(begun).to.have.length(1);
		await answer(0, 2);
		expect(begun).to.have.length(2);
	});

	const isClosedAsIdle = async (written: string, prepare?: () => Promise<void>): Promise<boolean> => {
		socket.write(written);
		await delay(settleMs);
		await prepare?.();
		await delay(settleMs);
		callers.closeIdle();
		socket.resume();
		await delay(settleMs);
		return isClosed;
	};

	const atClose: ReadonlyArray<{readonly title: string; readonly written: string; readonly prepare?: () => Promise<void>; readonly isClosed: boolean}> = [
		{title: 'without a request are closed as idle', written: '', isClosed: true},
		{
			title: 'whose requests are answered are closed as idle', written: get + get, prepare: async () => answer(0, 2), isClosed: true,
		},
		{title: 'with an unanswered request are not closed as idle', written: get, isClosed: false},
		{
			title: 'with an unanswered request behind an answered one are not closed as idle', written: get + get, prepare: async () => answer(0, 1), isClosed: false,
		},
		{title: 'on which a request has begun are not closed as idle', written: 'GET / HTTP/1.1\r\nhost', isClosed: false},
		{
			title: 'whose answer has not been read by the caller are not closed as idle',
			written: get,
			async prepare() {
				socket.pause();
				const {exchange, response} = begun[0]!;
				await exchange.untilTurn();
				response.end('x'.repeat(50_000_000));
				await delay(settleMs);
			},
			isClosed: false,
		},
	];
	for (const {title, written, prepare, isClosed: expected} of atClose) {
		it(title, async () => {
			expect(await isClosedAsIdle(written, prepare)).to.equal(expected);
		});
	}

	it('abort all unanswered requests when they close', async () => {
		socket.write(get.repeat(12));
		await delay(settleMs);
		const starts = begun.map(async ({exchange}) => exchange.untilStart('repeatable'));
		const turns = begun.map(async ({exchange}) => exchange.untilTurn());
		socket.destroy();
		const results = await Promise.all(starts);
		expect(results.filter(start => start === 'start')).to.have.length(maxConcurrentRequests);
		expect(await Promise.all(turns)).to.deep.equal([true, ...Array.from({length: 11}, () => false)]);
		expect(begun.every(({exchange}) => exchange.signal.aborted)).to.equal(true);
		expect(receivedBytes).to.equal(0);
	});

	it('that Node.js closes behind an answer to HTTP/1.0 without a length start no request behind it', async () => {
		const old = 'GET / HTTP/1.0\r\nhost: a.example\r\nconnection: keep-alive\r\n\r\n';
		socket.write(old + old);
		await delay(settleMs);
		const [first, second] = begun.map(({exchange}) => exchange);
		expect(await first!.untilStart('repeatable')).to.equal('start');
		const start = second!.untilStart('at-most-once');
		await first!.untilTurn();
		begun[0]!.response.write('part');
		begun[0]!.response.end('part');
		expect(await start).to.equal('not-read');
	});

	it('end the wait of requests behind a closing answer as not read', async () => {
		socket.write(get.repeat(2));
		await delay(settleMs);
		const [first, second] = begun.map(({exchange}) => exchange);
		expect(await first!.untilStart('at-most-once')).to.equal('start');
		const start = second!.untilStart('at-most-once');
		await first!.untilTurn();
		expect(first!.decideClose(true)).to.equal(true);
		begun[0]!.response.setHeader('connection', 'close').end();
		expect(await start).to.equal('not-read');
	});
});
