import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {memoryLimitBytes, type FleetConfig, type InstanceEntry} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {maxHeldRestBytes, maxHeldShareForRests} from '../src/constants.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(217)}.1`;
const port = 21_700;
const logLevel = 3;
const memoryMegabytes = 250;
const megabyte = 1_048_576;
const timeoutMs = 3000;
/** Tolerance within which what is held for a request is given back after its end. */
const endSlackMs = 500;

const config: FleetConfig = {
	version: 1,
	routes: [{
		name: 'r', hostName: 'a.example', pathPrefix: '/r/', semantics: 'idempotent', timeoutMs, latencyObjectiveMs: 800, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
	}],
	services: [{name: 's', healthPath: '/', connectionsPerInstance: 80}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 20 * megabyte, headerTimeoutMs: 3000, idleTimeoutMs: 60_000,
	},
};

const createStore = (ports: readonly number[]): StoreClient => ({
	async readAll(topic) {
		const entries = ports.map((instancePort): InstanceEntry => ({
			instanceId: `i-${instancePort}`,
			revision: 1,
			record: {
				service: 's', address, port: instancePort, dataCentre: 'a', slots: 32, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
			},
		}));
		return Ok({
			...(topic === 'config' && {config}), entries: topic === 'config' ? [] : entries, refused: [], asOf: 10,
		});
	},
	async watch(topic) {
		await delay(200);
		return Ok({
			...(topic === 'config' && {config}), entries: [], refused: [], asOf: 10,
		});
	},
	close: () => undefined,
});

/** Byte of an answer at an offset, so that a gap or a repetition shows. */
const byteAt = (offset: number): number => Math.floor(offset / 1009) % 251;

const createBytes = (fromByte: number, sizeBytes: number): Buffer => Buffer.from(Array.from({length: sizeBytes}, (_, index) => byteAt(fromByte + index)));

/** Bytes of all answers are a repetition of this, which is as long as the period of `byteAt`. */
const period = createBytes(0, 1009 * 251);

/** Takes requests with a body; answers with `?bytes=` bytes and resets the connection of the first try after `?cut=` of them. */
const startInstance = async (tried: Set<string>) => {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		let text = '';
		const answer = async (head: string): Promise<void> => {
			const id = /egretwing-request-id: (\S+)/v.exec(head)?.[1] ?? '';
			const sizeBytes = Number(/bytes=(\d+)/v.exec(head)?.[1] ?? 2);
			const cut = /cut=(\d+)/v.exec(head)?.[1];
			const cutBytes = cut === undefined || tried.has(id) ? Number.POSITIVE_INFINITY : Number(cut);
			tried.add(id);
			socket.write(`HTTP/1.1 200 OK\r\negretwing-request-id: ${id}\r\negretwing-signature: s\r\ncontent-length: ${sizeBytes}\r\n\r\n`);
			for (let sentBytes = 0; sentBytes < sizeBytes && !socket.destroyed; sentBytes += period.length) {
				if (sentBytes >= cutBytes) {
					// What was written must have arrived, since a reset drops it.
					await delay(200);
					socket.resetAndDestroy();
					return;
				}

				if (!socket.write(period.subarray(0, sizeBytes - sentBytes))) {
					const settled = new AbortController();
					await Promise.race(['drain', 'close'].map(async event => once(socket, event, {signal: settled.signal}).catch(() => undefined)));
					settled.abort();
				}
			}
		};

		socket.on('data', bytes => {
			text += bytes.toString('latin1');
			const [head, ...body] = text.split('\r\n\r\n');
			const bodyBytes = Number(/content-length: (\d+)/iv.exec(head!)?.[1] ?? 0);
			if (body.length > 0 && body.join('\r\n\r\n').length >= bodyBytes) {
				text = '';
				void answer(head!);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		sockets,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

/** What a caller got on its connection. */
type Caller = {
	readonly socket: net.Socket;
	/** Head and number of the bytes of the body so far; throws on a wrong byte. */
	readonly received: () => {readonly head: string; readonly bodyBytes: number};
	readonly isClosed: () => boolean;
};

describe('large answers of a gateway', function () {
	this.timeout(20_000);
	const limitBytes = memoryLimitBytes(memoryMegabytes);
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const callers = new Set<net.Socket>();
	let gateway: Gateway;
	let instances: ReadonlyArray<Awaited<ReturnType<typeof startInstance>>>;

	before(async () => {
		const tried = new Set<string>();
		instances = [await startInstance(tried), await startInstance(tried)];
		const logger = createLogger('test', 'g', logLevel, line => {
			lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
		});
		// Measured memory is that of the process of the tests.
		gateway = await startGateway(createTestSettings('g', address, port, {memoryMegabytes}), {
			store: createStore(instances.map(instance => instance.port)), headerNames: defaultHeaderNames, logger, residentBytes: () => 0,
		});
		while (!gateway.isReady()) {
			await delay(20);
		}

		// The gateway sends several requests at a time only to an instance that has answered.
		for (let number = 0; number < 8; number++) {
			const caller = open([`/r/small?${number}`]);
			while (caller.received().bodyBytes < 2) {
				await delay(10);
			}
		}
	});

	afterEach(async () => {
		for (const socket of callers) {
			socket.destroy();
		}

		callers.clear();
		expect(await untilHeldBytes(heldBytes => heldBytes === 0, 1000), 'held after the callers have left').to.equal(0);
	});

	after(async () => {
		await gateway.shutdown();
		for (const instance of instances) {
			instance.close();
		}
	});

	let lastId = 0;

	/** Sends requests on a new connection; all answers of a connection are taken for one, without what follows the first head. */
	const open = (targets: readonly string[], {isPaused = false, deadlineMs = timeoutMs, body = ''} = {}): Caller => {
		const socket = net.connect({host: address, port});
		callers.add(socket);
		let isClosed = false;
		let head = '';
		let bodyBytes = 0;
		let fault: string | undefined;
		socket.on('error', () => undefined);
		socket.once('close', () => {
			isClosed = true;
		});
		socket.on('data', bytes => {
			let piece = bytes;
			if (!head.includes('\r\n\r\n')) {
				const start = head.length;
				head += bytes.toString('latin1');
				const end = head.indexOf('\r\n\r\n') + 4;
				if (end < 4) {
					return;
				}

				head = head.slice(0, end);
				piece = bytes.subarray(end - start);
			}

			for (let offset = 0; targets.length === 1 && offset < piece.length; offset += 997) {
				if (piece[offset] !== byteAt(bodyBytes + offset)) {
					fault ??= `wrong byte at ${bodyBytes + offset}`;
				}
			}

			bodyBytes += piece.length;
		});
		for (const target of targets) {
			lastId++;
			socket.write([
				`${body === '' ? 'GET' : 'POST'} ${target} HTTP/1.1`, 'host: a.example', `egretwing-request-id: q${lastId}`, `egretwing-deadline-ms: ${deadlineMs}`, ...(body === '' ? [] : [`content-length: ${body.length}`]), '', body,
			].join('\r\n'));
		}

		if (isPaused) {
			socket.pause();
		}

		return {
			socket,
			received() {
				expect(fault).to.equal(undefined);
				return {head, bodyBytes};
			},
			isClosed: () => isClosed,
		};
	};

	const readHeldBytes = async (): Promise<number> => {
		const response = await fetch(`http://${address}:${port + 3}/metrics`);
		return Number(/^egretwing_held_bytes (\d+)$/mv.exec(await response.text())?.[1]);
	};

	const untilHeldBytes = async (isReached: (heldBytes: number) => boolean, withinMs: number): Promise<number> => {
		const endsAtMs = Date.now() + withinMs;
		let heldBytes = await readHeldBytes();
		while (!isReached(heldBytes) && Date.now() < endsAtMs) {
			await delay(50);
			heldBytes = await readHeldBytes();
		}

		return heldBytes;
	};

	// Guards against instances that cut off an answer because it stays unread.
	it('are taken off their instance while their caller does not read, and delivered whole once it does', async () => {
		const sizeBytes = 48 * megabyte;
		const caller = open([`/r/large?bytes=${sizeBytes}`], {isPaused: true});
		expect(await untilHeldBytes(heldBytes => heldBytes >= maxHeldRestBytes, 1500)).to.be.within(maxHeldRestBytes, maxHeldRestBytes + (2 * megabyte));
		caller.socket.resume();
		expect(await untilHeldBytes(heldBytes => heldBytes === 0, 2000)).to.equal(0);
		await delay(50);
		expect(caller.received().bodyBytes).to.equal(sizeBytes);
	});

	// Guards against slow readers that take what uploads and other answers need.
	it('leave room for other requests while many callers do not read theirs', async () => {
		const slow = Array.from({length: 12}, () => open([`/r/large?bytes=${48 * megabyte}`], {isPaused: true}));
		const fullBytes = limitBytes * maxHeldShareForRests;
		const heldBytes = await untilHeldBytes(bytes => bytes >= fullBytes, 1500);
		expect(heldBytes).to.be.within(fullBytes, fullBytes + (slow.length * megabyte));
		const upload = open(['/r/upload'], {body: 'x'.repeat(3 * megabyte)});
		const download = open([`/r/large?bytes=${4 * megabyte}`]);
		await delay(700);
		expect([upload.received().head.slice(0, 12), download.received().bodyBytes]).to.deep.equal(['HTTP/1.1 200', 4 * megabyte]);
	});

	const neverRead: ReadonlyArray<readonly [title: string, targets: readonly string[]]> = [
		['that the gateway took whole', [`/r/large?bytes=${8 * megabyte}`]],
		['that the gateway took in part', [`/r/large?bytes=${48 * megabyte}`]],
		['that were buffered whole', Array.from({length: 12}, (_, number) => `/r/medium?bytes=${900_000 + number}`)],
	];
	for (const [title, targets] of neverRead) {
		it(`are given up at the deadline of a caller that does not read them, ${title}`, async () => {
			const deadlineMs = 1500;
			const caller = open(targets, {isPaused: true, deadlineMs});
			await delay(deadlineMs - 300);
			expect(await readHeldBytes(), 'held').to.be.above(0);
			expect(await untilHeldBytes(heldBytes => heldBytes === 0, 300 + endSlackMs), 'held after the deadline').to.equal(0);
			caller.socket.resume();
			await delay(200);
			expect(caller.isClosed()).to.equal(true);
			expect(caller.received().bodyBytes).to.be.below(8 * megabyte);
		});
	}

	it('are retried at another instance when they break before any of them was passed on', async () => {
		const sizeBytes = 3 * megabyte;
		const caller = open([`/r/cut?bytes=${sizeBytes}&cut=500000`]);
		await delay(900);
		expect([caller.received().head.slice(0, 12), caller.received().bodyBytes, caller.isClosed()]).to.deep.equal(['HTTP/1.1 200', sizeBytes, false]);
	});

	it('end with a reset of the connection when they break later, and the log names the instance and the bytes that had arrived', async () => {
		const caller = open([`/r/cut?bytes=${8 * megabyte}&cut=${4 * megabyte}`]);
		const requestId = `q${lastId}`;
		await delay(900);
		expect([caller.received().head.slice(0, 12), caller.isClosed()]).to.deep.equal(['HTTP/1.1 200', true]);
		expect(caller.received().bodyBytes).to.be.below(8 * megabyte);
		const line = lines.find(({message, requestId: id}) => message === 'answer cut' && id === requestId);
		expect(instances.map(instance => `i-${instance.port}`)).to.include(line?.instanceId);
		expect(line?.arrivedBytes).to.be.within(4 * megabyte, 5 * megabyte);
	});
});
