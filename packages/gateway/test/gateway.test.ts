import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {electionWaitMs, type FleetConfig, type InstanceEntry} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type GatewaySettings, type StoreClient,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {watchReset} from '../src/reset.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(206)}.1`;
/** Below the ephemeral ports, which the system assigns to connections and to the instances of these tests. */
const firstPort = 21_100;

/** Time for which an instance may continue to work after the caller has disconnected. */
const workAfterLeavingMs = 500;

type Handler = (request: http.IncomingMessage, response: http.ServerResponse, body: string) => void;

/** Starts an instance of the service that answers requests by `handle`. */
const startInstance = async (handle: Handler) => {
	const arrivals: string[] = [];
	const server = http.createServer(async (request, response) => {
		const chunks: Buffer[] = [];
		for await (const chunk of request as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		arrivals.push(String(request.headers['egretwing-request-id']));
		response.setHeader('egretwing-request-id', String(request.headers['egretwing-request-id']));
		response.setHeader('egretwing-signature', 'signed');
		handle(request, response, Buffer.concat(chunks).toString());
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		arrivals,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const config: FleetConfig = {
	version: 1,
	routes: [
		...(['idempotent', 'at-most-once'] as const).map(semantics => ({
			name: semantics, hostName: 'a.example', pathPrefix: `/${semantics}/`, semantics, timeoutMs: 1000, latencyObjectiveMs: 800, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
		})),
		{
			name: 'long', hostName: 'a.example', pathPrefix: '/long/', semantics: 'at-most-once', timeoutMs: 10_000, latencyObjectiveMs: 9000, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
		},
	],
	services: [{name: 's', healthPath: '/', connectionsPerInstance: 10}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
};

const createStore = (ports: readonly number[]): StoreClient => ({
	async readAll(topic) {
		return Ok({
			...(topic === 'config' && {config}),
			entries: topic === 'config'
				? []
				: ports.map((port, index): InstanceEntry => ({
					instanceId: `i-${index}`,
					revision: index + 1,
					record: {
						service: 's', address, port, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
					},
				})),
			refused: [],
			asOf: 10,
		});
	},
	async watch() {
		await delay(200);
		return Ok({entries: [], refused: [], asOf: 10});
	},
	close: () => undefined,
});

const settings = (port: number): GatewaySettings => createTestSettings(`g-${port}`, address, port);

type Answer = {readonly statusCode: number; readonly body: string; readonly headers: http.IncomingHttpHeaders};

const call = async (port: number, path: string, body?: string, deadlineMs = 1500): Promise<Answer> => new Promise((resolve, reject) => {
	const request = http.request({
		host: address, port, path, agent: false, method: body === undefined ? 'GET' : 'POST', headers: {host: 'a.example', 'egretwing-request-id': 'r1', 'egretwing-deadline-ms': String(deadlineMs)},
	}, response => {
		let text = '';
		response.setEncoding('utf8');
		response.on('data', (chunk: string) => {
			text += chunk;
		});
		response.once('end', () => {
			resolve({statusCode: response.statusCode!, body: text, headers: response.headers});
		});
		response.once('error', reject);
	});
	request.once('error', reject);
	request.end(body);
});

const answerWith = (statusCode: number, text: string): Handler => (_request, response) => {
	response.writeHead(statusCode, {'content-length': text.length}).end(text);
};

const reset: Handler = request => {
	request.socket.resetAndDestroy();
};

const notExecuted: Handler = (_request, response) => {
	response.writeHead(503, {'egretwing-not-executed': '1', 'content-length': 0}).end();
};

const unsigned = (statusCode: number): Handler => (_request, response) => {
	response.removeHeader('egretwing-signature');
	response.writeHead(statusCode, {'content-length': 0}).end();
};

const refuseOtherRequest: Handler = (_request, response) => {
	response.writeHead(503, {'egretwing-request-id': 'r0', 'egretwing-not-executed': '1', 'content-length': 0}).end();
};

const silent: Handler = () => undefined;

const pieceBytes = 500_000;
const pieceCount = 6;

type Ending = 'end' | 'reset';

/** Slowly writes an answer larger than the gateway buffers; `headers` determine how its end is marked. */
const answerSlowly = (headers: http.OutgoingHttpHeaders, ending: Ending): Handler => async (request, response) => {
	response.useChunkedEncodingByDefault = headers.connection === undefined;
	response.writeHead(200, headers);
	for (let piece = 1; piece < pieceCount; piece++) {
		response.write(Buffer.alloc(pieceBytes));
		await delay(50);
	}

	if (ending === 'reset') {
		request.socket.resetAndDestroy();
	} else {
		response.end(Buffer.alloc(pieceBytes));
	}
};

/** Reads an answer; returns its size, or that it looks truncated to its caller. */
const receive = async (port: number, path: string): Promise<string> => new Promise(resolve => {
	const request = http.request({
		host: address, port, path, agent: false, headers: {host: 'a.example', 'egretwing-request-id': 'r1', 'egretwing-deadline-ms': '1500'},
	}, response => {
		const isReset = watchReset(response.socket);
		let sizeBytes = 0;
		response.on('data', (chunk: Buffer) => {
			sizeBytes += chunk.length;
		});
		response.once('end', () => {
			resolve(isReset() ? 'cut' : `whole ${sizeBytes}`);
		});
		response.once('error', () => {
			resolve('cut');
		});
	});
	request.once('error', () => {
		resolve('cut');
	});
	request.end();
});

describe('gateway', () => {
	const ports = {next: firstPort};
	let port = 0;
	let gateway: Gateway;
	const running: Gateway[] = [];
	let instances: ReadonlyArray<Awaited<ReturnType<typeof startInstance>>> = [];

	const start = async (handlers: readonly Handler[]): Promise<void> => {
		port = ports.next;
		ports.next += 10;
		instances = await Promise.all(handlers.map(async handle => startInstance(handle)));
		gateway = await startGateway(settings(port), {store: createStore(instances.map(instance => instance.port)), headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0)});
		running.push(gateway);
	};

	const callGateway = async (path: string, body?: string): Promise<Answer> => call(port, path, body);

	const receiveLong = async (path: string): Promise<string> => receive(port, path);

	const arrivals = (): number => instances.reduce((sum, instance) => sum + instance.arrivals.length, 0);

	afterEach(async () => {
		await Promise.all(running.splice(0).map(async started => started.shutdown()));
		for (const instance of instances) {
			instance.close();
		}
	});

	const cases: ReadonlyArray<{
		readonly title: string; readonly handlers: readonly Handler[]; readonly path: string; readonly body?: string; readonly statusCode: number; readonly arrivals: number;
	}> = [
		{
			title: 'serves a request that arrives before configuration and instances are known', handlers: [answerWith(200, 'ok')], path: '/idempotent/1', statusCode: 200, arrivals: 1,
		},
		{
			title: 'sends an idempotent request to another instance after a reset', handlers: [reset, reset], path: '/idempotent/1', statusCode: 502, arrivals: 2,
		},
		{
			title: 'sends an at-most-once request once, and reports an unknown outcome after a reset', handlers: [reset, reset], path: '/at-most-once/1', body: 'x', statusCode: 502, arrivals: 1,
		},
		{
			title: 'sends an at-most-once request to another instance when it did not run, and reports in the end that it did not', handlers: [notExecuted, notExecuted], path: '/at-most-once/1', body: 'x', statusCode: 503, arrivals: 2,
		},
		{
			title: 'passes on the error answer of an instance to an at-most-once request', handlers: [answerWith(500, 'no')], path: '/at-most-once/1', body: 'x', statusCode: 500, arrivals: 1,
		},
		{
			title: 'reports an unknown outcome when an instance answers 503 without stating that the request did not run',
			handlers: [unsigned(503), unsigned(503)],
			path: '/at-most-once/1',
			body: 'x',
			statusCode: 502,
			arrivals: 1,
		},
		{
			title: 'reports an unknown outcome when an instance refuses another request than the one it was sent',
			handlers: [refuseOtherRequest, refuseOtherRequest],
			path: '/at-most-once/1',
			body: 'x',
			statusCode: 502,
			arrivals: 1,
		},
		{
			title: 'gives the final answer at the time limit of the route', handlers: [silent], path: '/at-most-once/1', body: 'x', statusCode: 504, arrivals: 1,
		},
		{
			title: 'refuses a path without a route', handlers: [answerWith(200, 'ok')], path: '/other/1', statusCode: 404, arrivals: 0,
		},
		{
			title: 'refuses a body larger than allowed', handlers: [answerWith(200, 'ok')], path: '/at-most-once/1', body: 'x'.repeat(1001), statusCode: 413, arrivals: 0,
		},
	];
	for (const {title, handlers, path, body, statusCode, arrivals: expected} of cases) {
		it(title, async () => {
			await start(handlers);
			const answer = await callGateway(path, body);
			expect([answer.statusCode, arrivals()]).to.deep.equal([statusCode, expected]);
		});
	}

	const longKinds: ReadonlyArray<readonly [kind: string, headers: http.OutgoingHttpHeaders]> = [
		['with a length', {'content-length': pieceBytes * pieceCount}],
		['in chunks', {}],
		['without a length', {connection: 'close'}],
	];
	const longEnds: ReadonlyArray<readonly [title: string, ending: Ending, received: string]> = [
		['passes on a long slow answer', 'end', `whole ${pieceBytes * pieceCount}`],
		['resets the connection of a caller when the instance resets a long answer', 'reset', 'cut'],
	];
	for (const [kind, headers] of longKinds) {
		for (const [title, ending, received] of longEnds) {
			it(`${title} ${kind}`, async () => {
				await start([answerSlowly(headers, ending)]);
				expect(await receiveLong('/idempotent/1')).to.equal(received);
			});
		}
	}

	it('hedges an idempotent request to another instance when the first does not answer, and cancels the first attempt', async () => {
		const gone: string[] = [];
		let isFirst = true;
		const hangsOnce: Handler = (request, response, body) => {
			if (!isFirst) {
				answerWith(200, 'ok')(request, response, body);
				return;
			}

			isFirst = false;
			request.socket.once('close', () => {
				gone.push('silent');
			});
		};

		await start([hangsOnce, hangsOnce]);
		while (!gateway.isReady()) {
			await delay(20);
		}

		const answer = await callGateway('/idempotent/1');
		await delay(100);
		expect([answer.statusCode, arrivals(), gone]).to.deep.equal([200, 2, ['silent']]);
	});

	it('reads the store as soon as a request waits for it, before the readers are elected', async () => {
		await start([answerWith(200, 'ok')]);
		const sentAtMs = performance.now();
		await callGateway('/idempotent/1');
		expect(performance.now() - sentAtMs).to.be.below(electionWaitMs);
	});

	it('closes all listeners when an address is in use', async () => {
		await start([answerWith(200, 'ok')]);
		const second = {...settings(port), peerPort: port + 5};
		const parts = {store: createStore([]), headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0)};
		const failure = await startGateway(second, parts).catch((error: unknown) => error);
		expect((failure as NodeJS.ErrnoException).code).to.equal('EADDRINUSE');
		const third = await startGateway({
			...second, entryPort: port + 6, operatorPort: port + 7,
		}, parts);
		running.push(third);
		expect(third.isReady()).to.equal(false);
	});

	/** Sends a request without waiting for its answer. */
	const beginRequest = (path: string, body: string | undefined): http.ClientRequest => {
		const request = http.request({
			host: address, port, path, agent: false, method: body === undefined ? 'GET' : 'POST', headers: {host: 'a.example', 'egretwing-request-id': 'r1', 'egretwing-deadline-ms': '1500'},
		});
		request.on('error', () => undefined);
		request.end(body);
		return request;
	};

	const abandonedRequests: ReadonlyArray<readonly [title: string, path: string, body: string | undefined]> = [
		['an idempotent request', '/idempotent/1', undefined],
		['an at-most-once request', '/at-most-once/1', 'x'],
	];
	for (const [title, path, body] of abandonedRequests) {
		it(`aborts ${title} and does not retry it once its caller has disconnected`, async () => {
			const leftAtMs = {caller: 0, gateway: 0};
			const hang: Handler = request => {
				request.socket.once('close', () => {
					leftAtMs.gateway = performance.now();
				});
			};

			await start([hang, hang]);
			const request = beginRequest(path, body);
			while (arrivals() === 0) {
				await delay(10);
			}

			leftAtMs.caller = performance.now();
			request.destroy();
			await delay(workAfterLeavingMs);
			expect(leftAtMs.gateway).to.be.within(leftAtMs.caller, leftAtMs.caller + workAfterLeavingMs);
			await delay(1000);
			expect(arrivals()).to.equal(1);
		});
	}

	it('names itself to callers while it knows no other gateway, and is ready once it has configuration and instances', async () => {
		await start([answerWith(200, 'ok')]);
		expect(gateway.isReady()).to.equal(false);
		expect(gateway.locate('a').addresses).to.deep.equal([{address, port}]);
		await call(port, '/idempotent/1');
		await delay(150);
		expect(gateway.isReady()).to.equal(true);
	});

	it('rejects requests that would wait too long, with a retry delay', async () => {
		await start([silent]);
		const answers = await Promise.all(Array.from({length: 8}, async () => call(port, '/at-most-once/1', 'x')));
		const rejected = answers.filter(({statusCode}) => statusCode === 503);
		expect(rejected.length).to.be.above(0);
		for (const {headers} of rejected) {
			expect(Number(headers['retry-after'])).to.be.within(0.05, 2);
		}

		expect(arrivals() + rejected.length).to.equal(8);
	});

	it('waits for requests in flight before it shuts down', async () => {
		await start([(_request, response) => {
			setTimeout(() => {
				response.writeHead(200, {'content-length': 4}).end('late');
			}, 400);
		}]);
		await delay(1000);
		const answer = call(port, '/at-most-once/1', 'x');
		await delay(150);
		const ended = gateway.shutdown();
		expect(gateway.isReady()).to.equal(false);
		const {body} = await answer;
		expect(body).to.equal('late');
		await ended;
	});

	describe('while it shuts down', () => {
		/** Time after the start of the shutdown: connections are still accepted, but a request of a second would end too late. */
		const lateMs = 800;

		const kindOf = ({statusCode, headers}: Answer): string => `${statusCode} ${String(headers['egretwing-kind'])}`;

		const answerAfter = (waitMs: number): Handler => (_request, response) => {
			setTimeout(() => {
				response.writeHead(200, {'content-length': 2}).end('ok');
			}, waitMs);
		};

		const callWhileStopping = async (afterMs: number, deadlineMs: number): Promise<Answer> => {
			await start([answerAfter(100)]);
			await delay(1000);
			const ended = gateway.shutdown();
			await delay(afterMs);
			const answer = await call(port, '/at-most-once/1', 'x', deadlineMs);
			await ended;
			return answer;
		};

		const requestsDuringShutdown: ReadonlyArray<readonly [title: string, afterMs: number, deadlineMs: number, outcome: string, arrivals: number]> = [
			['accepts a request at the beginning', 100, 1000, '200 undefined', 1],
			['refuses a late request that may outlast the shutdown, and sends it to no instance', lateMs, 1000, '503 draining', 0],
			['accepts a late request whose deadline is before the end of the shutdown', lateMs, 400, '200 undefined', 1],
		];
		for (const [title, afterMs, deadlineMs, outcome, expected] of requestsDuringShutdown) {
			it(title, async () => {
				expect([kindOf(await callWhileStopping(afterMs, deadlineMs)), arrivals()]).to.deep.equal([outcome, expected]);
			});
		}

		it('refuses a request whose body is complete too late', async () => {
			await start([answerAfter(100)]);
			await delay(1000);
			const request = http.request({
				host: address, port, path: '/long/1', agent: false, method: 'POST', headers: {host: 'a.example', 'egretwing-request-id': 'r1', 'content-length': 2},
			});
			const answer = new Promise<http.IncomingMessage>((resolve, reject) => {
				request.once('response', resolve);
				request.once('error', reject);
			});
			request.write('x');
			await delay(50);
			const ended = gateway.shutdown();
			await delay(lateMs);
			request.end('x');
			const {statusCode} = await answer;
			expect([statusCode, arrivals()]).to.deep.equal([503, 0]);
			await ended;
		});

		it('reports to requests that still wait at the end that they did not run, and to requests at an instance that they may have run', async () => {
			await start([silent]);
			await delay(1000);
			const answers = ['1', '2', '3'].map(async name => call(port, `/long/${name}`, 'x', 10_000));
			await delay(100);
			const ended = gateway.shutdown();
			const kinds = await Promise.all(answers.map(async answer => kindOf(await answer)));
			expect(kinds.toSorted()).to.deep.equal(['502 outcome-unknown', '503 draining', '503 draining']);
			// An instance without a good answer so far gets one request at a time.
			expect(arrivals()).to.equal(1);
			await ended;
		});
	});
});
