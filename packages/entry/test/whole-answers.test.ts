import http from 'node:http';
import type net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {listen} from '@egretwing/node';
import {call, waitUntil} from './support/caller.ts';
import {instanceAt, startHarness, type Harness} from './support/harness.ts';
import {startRawBackend, type RawBackend, type RawRequest} from './support/raw-backend.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'seatledger', revision: 1, requestTimeoutMs: 400, slotsPerInstance: 64, notRunStatusCodes: [503],
};
const routes = [
	{
		kind: 'route', schemaVersion: 2, name: 'seats', revision: 1, pathPrefix: '/seats', service: 'seatledger', semantics: 'at-most-once',
	},
	{
		kind: 'route', schemaVersion: 2, name: 'rosters', revision: 1, pathPrefix: '/rosters', service: 'seatledger', semantics: 'idempotent',
	},
];

/** Responds with the path of the request, so that a response to the wrong request is detected. */
const echo = (socket: net.Socket, request: RawRequest): void => {
	const path = request.head.split(' ')[1] ?? '';
	socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`);
};

type Script = (socket: net.Socket, number: number, request: RawRequest) => void;

/** Calls `run` with an entry and `count` instances that all respond according to `script`. */
const withBackends = async (script: Script, count: number, run: (harness: Harness, backends: readonly RawBackend[]) => Promise<void>): Promise<void> => {
	const backends = await Promise.all(Array.from({length: count}, async (_, index) => startRawBackend(`b${index}`, 'seatledger', script)));
	const harness = await startHarness({records: [service, ...routes], instances: backends.map(backend => backend.instance)});
	try {
		await run(harness, backends);
	} finally {
		for (const backend of backends) {
			backend.close();
		}

		await harness.close();
	}
};

const scriptFirst = (script: (socket: net.Socket) => void): Script => (socket, number, request) => {
	if (number === 1) {
		script(socket);
	} else {
		echo(socket, request);
	}
};

describe('an at-most-once request without a key', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly script: (socket: net.Socket) => void; readonly kind: string; readonly ran: string}> = [
		{
			title: 'the connection is reset after the write', script: socket => socket.resetAndDestroy(), kind: 'outcome-unknown', ran: 'unknown',
		},
		{
			title: 'the connection is closed after the write', script: socket => socket.end(), kind: 'outcome-unknown', ran: 'unknown',
		},
		{
			title: 'the response comes after the timeout',
			async script(socket) {
				await delay(700);
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate');
			},
			kind: 'request-timeout',
			ran: 'unknown',
		},
		{
			title: 'the response ends within its head', script: socket => socket.end('HTTP/1.1 200 OK\r\ncontent-le'), kind: 'outcome-unknown', ran: 'unknown',
		},
		{
			title: 'the response is not HTTP', script: socket => socket.end('hello'), kind: 'outcome-unknown', ran: 'unknown',
		},
		{
			title: 'the response has a length and a transfer coding',
			script: socket => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'),
			kind: 'outcome-unknown',
			ran: 'unknown',
		},
		{
			title: 'only the close of the connection would mark the end of the response',
			script: socket => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps all'),
			kind: 'answer-unbounded',
			ran: 'ran',
		},
	];
	for (const {title, script, kind, ran} of cases) {
		it(`is written once and answered with ${kind} when ${title}`, async () => {
			await withBackends(script, 2, async (harness, backends) => {
				const exchange = await call(`${harness.url}/seats/1`, {method: 'POST', body: 'row=2'});
				expect(exchange).to.include({kind, ran});
				await delay(100);
				expect(backends.flatMap(backend => backend.requests)).to.have.length(1);
			});
		});
	}

	it('is sent to the next instance only if the status code means that it was not run', async () => {
		await withBackends(socket => socket.write('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n'), 2, async (harness, backends) => {
			const exchange = await call(`${harness.url}/seats/1`, {method: 'POST'});
			expect(exchange).to.include({kind: 'shed-by-backend', ran: 'not-run'});
			expect(backends.map(backend => backend.requests.length)).to.deep.equal([1, 1]);
		});
	});

	it('is refused as not run if no connection could be opened', async () => {
		await withBackends(() => undefined, 2, async (harness, backends) => {
			for (const backend of backends) {
				backend.close();
			}

			expect(await call(`${harness.url}/seats/1`, {method: 'POST'})).to.include({kind: 'connect-failed', ran: 'not-run'});
		});
	});

	it('is not written after its deadline', async () => {
		await withBackends((socket, _number, request) => {
			echo(socket, request);
		}, 1, async (harness, backends) => {
			const exchange = await call(`${harness.url}/seats/1`, {method: 'POST', headers: {'egretwing-deadline-ms': '0'}});
			expect(exchange).to.include({kind: 'deadline-expired', ran: 'not-run'});
			expect(backends[0]?.requests).to.be.empty;
		});
	});
});

describe('an idempotent request', () => {
	it('is never refused as not run after an attempt that may have run', async () => {
		await withBackends(() => undefined, 1, async (harness, backends) => {
			harness.putInstances([...backends.map(backend => backend.instance), {...backends[0]!.instance, hostId: 'closed', port: 1}]);
			await delay(50);
			const results = await Promise.all(Array.from({length: 8}, async () => call(`${harness.url}/rosters/1`)));
			expect(backends[0]!.requests.length).to.be.at.least(1);
			// Each request was written to the one instance that accepts connections, before or after the other was tried.
			expect(results.map(({ran}) => ran)).to.deep.equal(results.map(() => 'unknown'));
		});
	});
});

describe('a "not run" response of an instance', () => {
	const refusal = 'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n';

	for (const path of ['/seats/1', '/rosters/1']) {
		it(`is not taken for the response to the next request when the instance sends it twice (${path})`, async () => {
			const refused = new Set<net.Socket>();
			const script: Script = (socket, number, request) => {
				if (number === 1 || refused.has(socket)) {
					refused.add(socket);
					socket.write(refusal);
				} else {
					echo(socket, request);
				}
			};

			await withBackends(script, 1, async (harness, backends) => {
				expect(await call(`${harness.url}${path}`, {method: 'POST'})).to.include({kind: 'shed-by-backend', ran: 'not-run'});
				expect(await call(`${harness.url}${path}`, {method: 'POST'})).to.include({statusCode: 200, text: path});
				expect(backends[0]?.openedConnections()).to.equal(2);
			});
		});
	}
});

describe('responses', () => {
	const informational = 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n';
	const head = `${informational}HTTP/1.1 200 OK\r\nx-own: 1\r\ncontent-length: 4\r\nconnection: close\r\n\r\n`;
	for (const [path, ending] of [['/seats/1', 'close'], ['/seats/1', 'reset'], ['/rosters/1', 'close'], ['/rosters/1', 'reset']] as const) {
		it(`are not forwarded when a ${ending} interrupts their head at any byte (${path})`, async () => {
			const taken: string[] = [];
			const script: Script = (socket, _number, {head: requestHead}) => {
				const length = Number(/ \S+\?(\d+)/v.exec(requestHead)?.[1]);
				socket.write(head.slice(0, length));
				if (ending === 'close') {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			};

			await withBackends(script, 1, async harness => {
				for (let length = 1; length < head.length; length++) {
					const {kind} = await call(`${harness.url}${path}?${length}`, {method: 'POST'});
					taken.push(...(kind === 'outcome-unknown' ? [] : [`${length} ${kind}`]));
				}
			});
			expect(taken).to.deep.equal([]);
		});
	}

	const cut: ReadonlyArray<{readonly title: string; readonly bytes: string}> = [
		{title: 'shorter than its length', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf'},
		{title: 'without its last chunk', bytes: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'},
		{title: 'in the middle of a chunk', bytes: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf'},
	];
	for (const {title, bytes} of cut) {
		for (const path of ['/seats/1', '/rosters/1']) {
			it(`close the connection of the caller when one ends ${title} (${path})`, async () => {
				await withBackends(socket => socket.end(bytes), 1, async harness => {
					expect(await call(harness.url + path)).to.include({isWhole: false});
				});
			});
		}
	}

	const bodiless: ReadonlyArray<{readonly title: string; readonly method: string; readonly head: string; readonly statusCode: number}> = [
		{
			title: 'to HEAD', method: 'HEAD', head: 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n', statusCode: 200,
		},
		{
			title: 'with status 204', method: 'POST', head: 'HTTP/1.1 204 No Content\r\n\r\n', statusCode: 204,
		},
		{
			title: 'with status 304', method: 'GET', head: 'HTTP/1.1 304 Not Modified\r\netag: "a"\r\n\r\n', statusCode: 304,
		},
		{
			title: 'after a status 103', method: 'GET', head: 'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n', statusCode: 200,
		},
	];
	for (const {title, method, head, statusCode} of bodiless) {
		it(`are forwarded without a body ${title}`, async () => {
			await withBackends(socket => socket.write(head), 1, async harness => {
				expect(await call(`${harness.url}/seats/1`, {method})).to.include({statusCode, text: '', isWhole: true});
			});
		});
	}

	it('reach the caller even if they come before the end of the upload', async () => {
		const early = http.createServer((_request, response) => {
			response.writeHead(413, {'content-length': 3, connection: 'close'});
			response.end('big');
		});
		const port = await listen(early, 0, '127.0.0.1');
		const harness = await startHarness({records: [service, ...routes], instances: [instanceAt('b0', 'seatledger', port)], settings: {headersTimeoutMs: 1000}});
		const upload = http.request(`${harness.url}/seats/1`, {method: 'PUT', headers: {'content-length': 1_000_000}});
		upload.on('error', () => undefined);
		upload.write(new Uint8Array(1000));
		const response = await new Promise<http.IncomingMessage>(resolve => {
			upload.on('response', resolve);
		});
		let text = '';
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			text += new TextDecoder().decode(chunk);
		}

		expect(response.statusCode).to.equal(413);
		expect(text).to.equal('big');
		upload.destroy();
		early.close();
		early.closeAllConnections();
		await harness.close();
	});

	const excess: ReadonlyArray<{readonly title: string; readonly script: (socket: net.Socket) => void}> = [
		{title: 'longer than its length', script: socket => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nownmore')},
		{title: 'followed by a second one', script: socket => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nownHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother')},
		{
			title: 'followed by a late second one',
			async script(socket) {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown');
				await delay(30);
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother');
			},
		},
	];
	for (const {title, script} of excess) {
		it(`reach only their own caller when one is ${title}`, async () => {
			await withBackends(scriptFirst(script), 1, async harness => {
				expect(await call(`${harness.url}/rosters/1`)).to.include({text: 'own', isWhole: true});
				await delay(100);
				expect(await call(`${harness.url}/rosters/2`)).to.include({text: '/rosters/2', isWhole: true});
			});
		});
	}

	it('to at-most-once requests are not mixed up even if a second one arrives after the next request was written', async () => {
		let previous: net.Socket | undefined;
		await withBackends((socket, _number, request) => {
			previous?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother');
			previous = socket;
			setTimeout(echo, 20, socket, request);
		}, 1, async (harness, backends) => {
			for (let index = 0; index < 5; index++) {
				expect(await call(`${harness.url}/seats/${index}`, {method: 'POST'})).to.include({text: `/seats/${index}`});
			}

			expect(backends[0]!.openedConnections()).to.equal(5);
		});
	});

	it('reach only their own caller even if they come out of order and after timeouts', async () => {
		await withBackends((socket, number, request) => {
			setTimeout(echo, number % 3 === 0 ? 600 : (number * 37) % 300, socket, request);
		}, 1, async harness => {
			const exchanges = await Promise.all(Array.from({length: 60}, async (_, index) => {
				const path = index % 2 === 0 ? `/rosters/${index}` : `/seats/${index}`;
				return {path, ...await call(harness.url + path)};
			}));
			for (const {path, kind, text} of exchanges) {
				expect(kind ?? text).to.be.oneOf([path, 'request-timeout']);
			}
		});
	});
});

describe('the deadline', () => {
	it('is forwarded with the remaining time, limited by the timeout of the service', async () => {
		await withBackends((socket, _number, request) => {
			echo(socket, request);
		}, 1, async (harness, backends) => {
			for (const written of ['250', '99999']) {
				await call(`${harness.url}/rosters/1`, {headers: {'egretwing-deadline-ms': written}});
			}

			const passed = backends[0]!.requests.map(request => Number(/egretwing-deadline-ms: (\d+)/v.exec(request.head)?.[1]));
			expect(passed[0]).to.be.within(1, 250);
			expect(passed[1]).to.be.within(1, 400);
		});
	});
});

describe('a caller that disconnects', () => {
	for (const path of ['/rosters/1', '/seats/1']) {
		it(`causes its backend connection to be closed (${path})`, async () => {
			await withBackends(() => undefined, 1, async (harness, backends) => {
				const abort = new AbortController();
				const pending = call(harness.url + path, {signal: abort.signal}).catch(() => 'aborted');
				await waitUntil(() => backends[0]!.requests.length === 1);
				abort.abort();
				expect(await pending).to.equal('aborted');
				await waitUntil(() => backends[0]!.closedConnections() === 1, 300);
				expect(backends[0]!.requests).to.have.length(1);
			});
		});
	}
});
