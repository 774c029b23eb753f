import {Buffer} from 'node:buffer';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetConfig, InstanceEntry} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(216)}.1`;
const port = 21_700;
const logLevel = 3;
/** On this machine only the least budget is left, 4 MB, of which large requests may hold four fifths. */
const memoryMegabytes = 64;
const megabyte = 1_048_576;
const timeoutMs = 2000;

const config: FleetConfig = {
	version: 1,
	routes: [{
		name: 'r', hostName: 'a.example', pathPrefix: '/r/', semantics: 'idempotent', timeoutMs, latencyObjectiveMs: 800, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
	}],
	services: [{name: 's', healthPath: '/', connectionsPerInstance: 40}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 20 * megabyte, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
};

const createStore = (instancePort: number): StoreClient => ({
	async readAll(topic) {
		const entry: InstanceEntry = {
			instanceId: 'i',
			revision: 1,
			record: {
				service: 's', address, port: instancePort, dataCentre: 'a', slots: 8, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
			},
		};
		return Ok({
			...(topic === 'config' && {config}), entries: topic === 'config' ? [] : [entry], refused: [], asOf: 10,
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

/** Answers each request with the size of its body, and with an own body of `?bytes=` more. */
const startInstance = async () => {
	const bodySizes: number[] = [];
	const server = http.createServer((incoming, response) => {
		let sizeBytes = 0;
		incoming.on('data', (chunk: Buffer) => {
			sizeBytes += chunk.length;
		});
		incoming.once('end', () => {
			bodySizes.push(sizeBytes);
			const waitMs = Number(/wait=(\d+)/v.exec(incoming.url ?? '')?.[1] ?? 0);
			const answerBytes = Number(/bytes=(\d+)/v.exec(incoming.url ?? '')?.[1] ?? 2);
			response.writeHead(200, {'egretwing-request-id': String(incoming.headers['egretwing-request-id']), 'egretwing-signature': 'signed', 'content-length': answerBytes});
			setTimeout(() => {
				response.end(Buffer.alloc(answerBytes));
			}, waitMs);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		bodySizes,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const headOf = (id: string, target: string, bodyBytes?: number, headers: readonly string[] = []): string => [
	`${bodyBytes === undefined ? 'GET' : 'POST'} ${target} HTTP/1.1`, 'host: a.example', `egretwing-request-id: ${id}`, ...(bodyBytes === undefined ? [] : [`content-length: ${bodyBytes}`]), ...headers, '', '',
].join('\r\n');

/** Opens a connection of a caller, which reads what it gets unless it is paused. */
const connect = (): {readonly socket: net.Socket; readonly received: () => string} => {
	const socket = net.connect({host: address, port});
	const chunks: Buffer[] = [];
	socket.on('data', chunk => {
		chunks.push(chunk);
	});
	socket.on('error', () => undefined);
	return {socket, received: () => Buffer.concat(chunks).toString('latin1')};
};

const statusOf = (text: string): string | undefined => /^HTTP\/1\.1 (\d{3})/v.exec(text)?.[1];

describe('memory of a gateway', function () {
	this.timeout(15_000);
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const sockets = new Set<net.Socket>();
	let residentBytes = 0;
	let gateway: Gateway;
	let instance: Awaited<ReturnType<typeof startInstance>>;

	const open = (): ReturnType<typeof connect> => {
		const caller = connect();
		sockets.add(caller.socket);
		return caller;
	};

	before(async () => {
		instance = await startInstance();
		const logger = createLogger('test', 'g', logLevel, line => {
			lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
		});
		gateway = await startGateway(createTestSettings('g', address, port, {memoryMegabytes}), {
			store: createStore(instance.port), headerNames: defaultHeaderNames, logger, residentBytes: () => residentBytes,
		});
		while (!gateway.isReady()) {
			await delay(20);
		}
	});

	afterEach(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		sockets.clear();
		await delay(100);
	});

	after(async () => {
		await gateway.shutdown();
		instance.close();
	});

	/** Starts an upload of which `sentBytes` arrive. */
	const upload = (id: string, bodyBytes: number, sentBytes = bodyBytes): ReturnType<typeof connect> => {
		const caller = open();
		caller.socket.write(headOf(id, '/r/upload', bodyBytes));
		caller.socket.write(new Uint8Array(sentBytes));
		return caller;
	};

	const askSmall = async (id: string, bodyBytes?: number): Promise<string | undefined> => {
		const caller = open();
		caller.socket.write(headOf(id, '/r/small', bodyBytes));
		caller.socket.write(new Uint8Array(bodyBytes ?? 0));
		await delay(300);
		return statusOf(caller.received());
	};

	it('passes on a body of many pieces whole', async () => {
		const caller = upload('whole', 3 * megabyte);
		await delay(500);
		expect([statusOf(caller.received()), instance.bodySizes.at(-1)]).to.deep.equal(['200', 3 * megabyte]);
	});

	// Guards against a body that is taken in although the process can't hold it.
	it('refuses at once a body that never fits', async () => {
		const caller = upload('huge', 10 * megabyte, 0);
		await delay(200);
		const line = lines.find(({message, requestId}) => message === 'refused' && requestId === 'huge');
		expect([statusOf(caller.received()), /egretwing-ran: ([\-a-z]+)/v.exec(caller.received())?.[1], /retry-after: (\d+)/iv.exec(caller.received())?.[1], line?.reason])
			.to.deep.equal(['503', 'not-run', '1', 'memory']);
	});

	// Guards against announced lengths that take memory for bytes that never come.
	it('holds nothing for bytes that were announced and did not come', async () => {
		for (let number = 0; number < 20; number++) {
			upload(`announced-${number}`, 3 * megabyte, 0);
		}

		const caller = upload('sent', 3 * megabyte);
		await delay(500);
		expect(statusOf(caller.received())).to.equal('200');
	});

	// Guards against uploads that are never finished and shut out every other caller.
	it('serves small requests while unfinished uploads hold what large ones may', async () => {
		const uploads = Array.from({length: 6}, (_, number) => upload(`part-${number}`, megabyte, megabyte - 1));
		await delay(300);
		expect(uploads.map(({received}) => statusOf(received())).filter(status => status === '503')).to.have.length.above(0);
		expect(await Promise.all([askSmall('small-1'), askSmall('small-2', 300), askSmall('small-3', 30_000)])).to.deep.equal(['200', '200', '200']);
	});

	// Guards against bodies that never end and hold memory, and a connection, for ever.
	const bodyTimes: ReadonlyArray<readonly [title: string, headers: readonly string[], withinMs: number]> = [
		['time limit of its route', [], timeoutMs],
		['deadline of its caller', ['egretwing-deadline-ms: 300'], 300],
	];
	for (const [title, headers, withinMs] of bodyTimes) {
		it(`refuses a body that is not complete at the ${title}, and takes another one in its place`, async () => {
			const caller = open();
			caller.socket.write(headOf('slow', '/r/slow', 3 * megabyte, headers));
			caller.socket.write(new Uint8Array((3 * megabyte) - 1));
			await delay(withinMs - 150);
			expect(caller.received()).to.equal('');
			await delay(350);
			expect([statusOf(caller.received()), /egretwing-kind: ([\-a-z]+)/v.exec(caller.received())?.[1], /egretwing-ran: ([\-a-z]+)/v.exec(caller.received())?.[1]])
				.to.deep.equal(['408', 'body-incomplete', 'not-run']);
			const next = upload('next', 3 * megabyte);
			await delay(500);
			expect(statusOf(next.received())).to.equal('200');
		});
	}

	// Guards against heads that never end: each keeps a connection and its memory for ever.
	const slowHeads: ReadonlyArray<readonly [title: string, first: string]> = [
		['the first head of a connection', ''],
		['a later head of a connection', headOf('earlier', '/r/small')],
	];
	for (const [title, first] of slowHeads) {
		it(`refuses ${title} that does not end within the configured time, though bytes keep coming`, async () => {
			const caller = open();
			const trickle = setInterval(() => {
				caller.socket.write('x: y\r\n');
			}, 200);
			caller.socket.write(`${first}GET /r/slow HTTP/1.1\r\nhost: a.example\r\n`);
			try {
				await delay(config.limits.headerTimeoutMs + 1500);
			} finally {
				clearInterval(trickle);
			}

			expect(caller.received().match(/(?<=HTTP\/1\.1 )\d+/gv)).to.deep.equal([...(first === '' ? [] : ['200']), '408']);
			expect(caller.received()).to.contain('egretwing-kind: headers-too-slow');
		});
	}

	// Guards against answers that wait for their turn and together take the memory of the machine.
	it('holds no more of waiting answers than the memory allows, and delivers all of them', async () => {
		const answerBytes = 900_000;
		// The gateway sends several requests at a time only to an instance that has answered.
		await askSmall('trial-1');
		await askSmall('trial-2');
		const runsBefore = instance.bodySizes.length;
		const caller = open();
		caller.socket.write(headOf('first', '/r/first?wait=1000'));
		for (let number = 0; number < 7; number++) {
			caller.socket.write(headOf(`waiting-${number}`, `/r/waiting?bytes=${answerBytes}`));
		}

		await delay(700);
		const response = await fetch(`http://${address}:${port + 3}/metrics`);
		const metrics = await response.text();
		const heldBytes = Number(/^egretwing_held_bytes (\d+)$/mv.exec(metrics)?.[1]);
		expect(heldBytes).to.be.within(2 * megabyte, 4 * megabyte);
		await delay(1200);
		expect(caller.received().match(/(?<=HTTP\/1\.1 )\d+/gv)).to.deep.equal(Array.from({length: 8}, () => '200'));
		expect(caller.received().length).to.be.above(7 * answerBytes);
		expect(instance.bodySizes.length - runsBefore).to.equal(8);
	});

	// Guards against requests that never get their turn and stay counted for the life of the process.
	it('counts nothing more for pipelined requests once their caller is gone', async () => {
		// The gateway sends several requests at a time only to an instance that has answered.
		await askSmall('trial-3');
		await askSmall('trial-4');
		const caller = open();
		caller.socket.write(headOf('first', '/r/first?wait=1000'));
		for (let number = 0; number < 4; number++) {
			caller.socket.write(headOf(`left-${number}`, '/r/left?bytes=500000'));
		}

		await delay(500);
		caller.socket.destroy();
		await delay(300);
		const response = await fetch(`http://${address}:${port + 3}/metrics`);
		expect(/^egretwing_held_bytes (\d+)$/mv.exec(await response.text())?.[1]).to.equal('0');
	});

	// Guards against memory that the count of held bytes does not show.
	it('refuses large bodies and serves small requests while its measured memory is short', async () => {
		residentBytes = memoryMegabytes * megabyte;
		try {
			await delay(300);
			const large = upload('short-1', megabyte);
			const small = await askSmall('short-2', 300);
			expect([statusOf(large.received()), small]).to.deep.equal(['503', '200']);
		} finally {
			residentBytes = 0;
		}

		await delay(300);
		const caller = upload('short-3', megabyte);
		await delay(500);
		expect([statusOf(caller.received()), lines.filter(({message}) => String(message).startsWith('memory')).map(({message}) => message)])
			.to.deep.equal(['200', ['memory short', 'memory no longer short']]);
	});

	it('takes uploads again once the callers of unfinished ones are gone', async () => {
		const uploads = Array.from({length: 6}, (_, number) => upload(`gone-${number}`, megabyte, megabyte - 1));
		await delay(300);
		for (const {socket} of uploads) {
			socket.destroy();
		}

		await delay(100);
		const caller = upload('after', 3 * megabyte);
		await delay(500);
		expect(statusOf(caller.received())).to.equal('200');
	});
});
