import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetConfig, InstanceEntry} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {Ok} from 'ts-results-es';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient,
} from '@egretwing/gateway';
import {networkOf} from '../../../test/support/network.ts';
import {maxBufferedAnswerBytes} from '../src/constants.ts';
import {watchReset} from '../src/reset.ts';
import {
	startEndlessInstance, wholeAnswer, type EndlessAnswer, type EndlessInstance, type EndlessOptions,
} from '../../../test/support/endless-instance.ts';
import {parseAnswers} from './support/raw-answers.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(209)}.1`;
/** Below the ephemeral ports, which the system assigns to connections and to the instances of these tests. */
const entryPort = 21_700;

const timeoutMs = 500;
/** Tolerance within which a request ends after its timeout, and its connections are closed after its end. */
const endSlackMs = 400;
/** Timeout of requests that are also sent to a second instance. */
const longTimeoutMs = 1000;
/** Timeout of the caller itself. */
const callerTimeoutMs = 2 * longTimeoutMs;
/** Maximum bytes that the buffers of the connections and of the gateway take of an unread answer; far below the offered bytes. */
const maxUnreadBytes = 25_165_824;

const signed = 'egretwing-request-id: {id}\r\negretwing-signature: s\r\n';
const unboundedHead = `HTTP/1.1 200 OK\r\n${signed}connection: close\r\n\r\n`;
const chunkedHead = `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n`;
const longHead = `HTTP/1.1 200 OK\r\n${signed}content-length: 1000000000\r\n\r\n`;
const errorHead = `HTTP/1.1 500 No\r\n${signed}content-length: 1000000000\r\n\r\n`;
const notExecutedHead = 'HTTP/1.1 503 Full\r\negretwing-not-executed: 1\r\n';
const kilobyte = 'x'.repeat(1024);
const chunk = `400\r\n${kilobyte}\r\n`;
const longKinds: ReadonlyArray<{readonly kind: string; readonly start: string; readonly piece: string}> = [
	{kind: 'without a length', start: unboundedHead, piece: kilobyte},
	{kind: 'in chunks', start: chunkedHead, piece: chunk},
	{kind: 'with a length', start: longHead, piece: kilobyte},
];

/** Revision of the store, above those of its entries. */
const asOf = 100_000;

/** What the caller does once its answer has begun: read on, close the connection, or stop reading. */
type Reading = 'reads' | 'leaves' | 'stops';

/** How a request ended for its caller. */
type Received = {
	readonly statusCode: number;
	readonly text: string;
	readonly isWhole: boolean;
	readonly endedAtMs: number;
};

type Case = {
	readonly title: string;
	readonly answer: EndlessAnswer;
	readonly method?: 'GET' | 'HEAD';
	readonly reading?: Reading;
	/** Status code that the caller gets, and whether its answer looks complete. */
	readonly expected: string;
	/** Whether the caller gets everything that the instance sends until the timeout. */
	readonly isPassedOn?: boolean;
};

/** Answers that are not passed on to a caller. */
const unusable: readonly Case[] = [
	{title: 'a status line', answer: {start: 'HTTP/1.1 200 ', piece: kilobyte}, expected: '502 whole'},
	{title: 'bytes that are no HTTP answer', answer: {start: '', piece: kilobyte}, expected: '502 whole'},
	{title: 'the bytes of a header', answer: {start: 'HTTP/1.1 200 OK\r\nx-long: ', piece: kilobyte}, expected: '502 whole'},
	{title: 'header lines', answer: {start: 'HTTP/1.1 200 OK\r\n', piece: 'x: y\r\n'}, expected: '502 whole'},
	{title: 'header lines, slowly', answer: {start: 'HTTP/1.1 200 OK\r\n', piece: 'x: y\r\n', pauseMs: 20}, expected: '504 whole'},
	{title: 'informational answers', answer: {start: '', piece: 'HTTP/1.1 103 Early Hints\r\n\r\n'}, expected: '502 whole'},
	{title: 'informational answers, slowly', answer: {start: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n', pauseMs: 50}, expected: '504 whole'},
	{title: 'extensions of a chunk', answer: {start: `${chunkedHead}4;`, piece: kilobyte}, expected: '502 whole'},
	{title: 'trailers', answer: {start: `${chunkedHead}0\r\n`, piece: 'x: y\r\n'}, expected: '502 whole'},
	{title: 'a body byte by byte', answer: {start: longHead, piece: 'x', pauseMs: 10}, expected: '504 whole'},
	{title: 'a body without a length byte by byte', answer: {start: unboundedHead, piece: 'x', pauseMs: 10}, expected: '504 whole'},
	{title: 'a body without a signature', answer: {start: 'HTTP/1.1 200 OK\r\negretwing-request-id: {id}\r\n\r\n', piece: kilobyte}, expected: '502 whole'},
	{title: 'a body of another request', answer: {start: chunkedHead.replace('{id}', 'other'), piece: chunk}, expected: '502 whole'},
	{title: 'a body of a request that did not run', answer: {start: `${notExecutedHead}\r\n`, piece: kilobyte}, expected: '503 whole'},
	{title: 'a body of a request that did not run, byte by byte', answer: {start: `${notExecutedHead}content-length: 1000\r\n\r\n`, piece: 'x', pauseMs: 10}, expected: '503 whole'},
	{title: 'a body of an instance that is not the target', answer: {start: 'HTTP/1.1 421 No\r\ntransfer-encoding: chunked\r\n\r\n', piece: chunk}, expected: '503 whole'},
];

/** Bytes after a complete answer, in the same packet or while the connection is idle. */
const surplusBytes: readonly Case[] = ([{when: 'at once'}, {when: 'later', afterMs: 50}] as const).flatMap(({when, ...pause}): readonly Case[] => [
	{title: `bytes after a complete answer, ${when}`, answer: {start: `HTTP/1.1 200 OK\r\n${signed}content-length: 2\r\n\r\nok`, piece: kilobyte, ...pause}, expected: '200 whole'},
	{title: `answers after a complete answer, ${when}`, answer: {start: `HTTP/1.1 200 OK\r\n${signed}content-length: 0\r\n\r\n`, piece: wholeAnswer('other'), ...pause}, expected: '200 whole'},
	{
		title: `bytes after an answer to HEAD, ${when}`, method: 'HEAD', answer: {start: longHead, piece: kilobyte, ...pause}, expected: '200 whole',
	},
	{title: `bytes after an answer 204, ${when}`, answer: {start: `HTTP/1.1 204 None\r\n${signed}\r\n`, piece: kilobyte, ...pause}, expected: '204 whole'},
	{title: `chunks after the last chunk, ${when}`, answer: {start: `${chunkedHead}0\r\n\r\n`, piece: chunk, ...pause}, expected: '200 whole'},
]);

/** Answers that are streamed to the caller once they exceed the buffer. */
const passedOn: readonly Case[] = longKinds.flatMap(({kind, start, piece}): readonly Case[] => [
	{
		title: `a body ${kind} to a caller that keeps reading`, answer: {start, piece}, expected: '200 cut', isPassedOn: true,
	},
	{
		title: `a body ${kind} to a caller that disconnects`, answer: {start, piece}, reading: 'leaves', expected: '200 cut',
	},
	{
		title: `a body ${kind} to a caller that stops reading`, answer: {start, piece}, reading: 'stops', expected: '200 cut',
	},
	{
		title: `a body ${kind}, slowly once it exceeds the buffer`, answer: {start: start + piece.repeat((maxBufferedAnswerBytes / kilobyte.length) + 1), piece, pauseMs: 20}, expected: '200 cut', isPassedOn: true,
	},
]);

const cases: readonly Case[] = [...unusable, ...surplusBytes, ...passedOn];

/** Services with two instances; the first request to either of them gets an endless error answer. */
const retried: ReadonlyArray<{readonly title: string; readonly later: EndlessOptions['later']; readonly expected: string}> = [
	{title: 'makes the gateway report an unknown outcome when its error answer is cut off while another instance is tried', later: 'silence', expected: '502 whole'},
	{title: 'is disconnected when its answer is an error and another instance has served the request', later: 'whole answers', expected: '200 whole'},
];

/** Two pipelined requests: a slow answer, and a long one that times out before the slow one has arrived. */
const pipelined: ReadonlyArray<{readonly answer: EndlessAnswer; readonly limitMs: number}> = [
	{answer: {start: 'HTTP/1.1 200 ', piece: 'x', pauseMs: 50}, limitMs: longTimeoutMs},
	{answer: {start: longHead, piece: kilobyte}, limitMs: timeoutMs},
];

/** Answers that have not begun for the caller when it disconnects. */
const abandoned: ReadonlyArray<{readonly title: string; readonly answer: EndlessAnswer}> = [
	{title: 'a status line', answer: {start: 'HTTP/1.1 200 ', piece: 'x', pauseMs: 10}},
	{title: 'header lines', answer: {start: 'HTTP/1.1 200 OK\r\n', piece: 'x: y\r\n', pauseMs: 10}},
	{title: 'informational answers', answer: {start: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n', pauseMs: 50}},
	{title: 'a body with a length', answer: {start: longHead, piece: 'x', pauseMs: 10}},
	{title: 'a body in chunks', answer: {start: chunkedHead, piece: '1\r\nx\r\n', pauseMs: 10}},
	{title: 'nothing', answer: {start: '', piece: kilobyte, afterMs: 300}},
];
/** When such a caller disconnects. */
const abandonedAfterMs = 150;

type TestService = {
	readonly semantics: 'idempotent' | 'at-most-once';
	readonly timeoutMs: number;
	readonly instances: readonly EndlessInstance[];
};

const pathOf = (index: number): string => `/${index}/`;

const createConfig = (services: readonly TestService[]): FleetConfig => ({
	version: 1,
	routes: services.map(({semantics, timeoutMs: limitMs}, index) => ({
		name: `r-${index}`,
		hostName: 'a.example',
		pathPrefix: pathOf(index),
		semantics,
		timeoutMs: limitMs,
		latencyObjectiveMs: limitMs,
		maxAttempts: 2,
		rank: 1,
		services: [{service: `s-${index}`, weight: 1}],
	})),
	services: services.map((_, index) => ({name: `s-${index}`, healthPath: '/', connectionsPerInstance: 10})),
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
});

const createEntries = (services: readonly TestService[]): readonly InstanceEntry[] => services.flatMap(({instances}, index) => instances.map(({port}): InstanceEntry => ({
	instanceId: `i-${port}`,
	revision: port,
	record: {
		service: `s-${index}`, address, port, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
	},
})));

const createStore = (services: readonly TestService[]): StoreClient => ({
	async readAll(topic) {
		return Ok(topic === 'config'
			? {
				config: createConfig(services), entries: [], refused: [], asOf,
			}
			: {entries: createEntries(services), refused: [], asOf});
	},
	async watch() {
		await delay(200);
		return Ok({entries: [], refused: [], asOf});
	},
	close: () => undefined,
});

/** Sends a request on a new connection. */
const call = async (path: string, id: string, method: 'GET' | 'HEAD', reading: Reading): Promise<Received> => new Promise((resolve, reject) => {
	const outgoing = http.request({
		host: address, port: entryPort, path, agent: false, method, signal: AbortSignal.timeout(callerTimeoutMs), headers: {host: 'a.example', 'egretwing-request-id': id, 'egretwing-deadline-ms': '5000'},
	}, response => {
		const {socket} = response;
		const isReset = watchReset(socket);
		const chunks: Buffer[] = [];
		const end = (): void => {
			// Node.js treats a reset, and a close by the caller itself, as the end of an answer without a length.
			const isWhole = response.complete && !isReset() && reading !== 'leaves';
			resolve({
				statusCode: response.statusCode!, text: Buffer.concat(chunks).toString(), isWhole, endedAtMs: performance.now(),
			});
		};

		response.on('data', (data: Buffer) => {
			chunks.push(data);
			if (reading === 'leaves') {
				socket.destroy();
			}

			if (reading === 'stops' && chunks.length === 1) {
				response.pause();
				setTimeout(() => {
					response.resume();
				}, timeoutMs + endSlackMs);
			}
		});
		response.once('error', end);
		response.once('end', end);
		outgoing.off('error', reject);
		outgoing.once('error', end);
	});
	outgoing.once('error', reject);
	outgoing.end();
});

describe('an instance that sends endless answers', () => {
	let gateway: Gateway;
	const services: TestService[] = [];

	before(async () => {
		const single = await Promise.all(cases.map(async ({answer}): Promise<TestService> => ({
			semantics: 'at-most-once', timeoutMs, instances: [await startEndlessInstance(address, answer)],
		})));
		const double = await Promise.all(retried.map(async ({later}): Promise<TestService> => {
			const ids: string[] = [];
			const start = async () => startEndlessInstance(address, {start: errorHead, piece: kilobyte}, {later, ids});
			return {semantics: 'idempotent', timeoutMs: longTimeoutMs, instances: await Promise.all([start(), start()])};
		}));
		const pipelinedServices = await Promise.all(pipelined.map(async ({answer, limitMs}): Promise<TestService> => ({
			semantics: 'idempotent', timeoutMs: limitMs, instances: [await startEndlessInstance(address, answer)],
		})));
		const abandonedServices = await Promise.all(abandoned.map(async ({answer}): Promise<TestService> => ({
			semantics: 'at-most-once', timeoutMs: longTimeoutMs, instances: [await startEndlessInstance(address, answer)],
		})));
		services.push(...single, ...double, ...pipelinedServices, ...abandonedServices);
		gateway = await startGateway(createTestSettings('g', address, entryPort), {store: createStore(services), headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0)});
		while (!gateway.isReady()) {
			await delay(20);
		}
	});

	after(async () => {
		await gateway.shutdown();
		for (const {instances} of services) {
			for (const instance of instances) {
				instance.close();
			}
		}
	});

	/** Sends a request whose instance answers endlessly, and checks that the answer ends and its connection is closed in time. */
	const check = async (index: number, {method = 'GET', reading = 'reads', expected}: Pick<Case, 'method' | 'reading' | 'expected'>): Promise<void> => {
		const {instances, timeoutMs: limitMs} = services[index]!;
		const sentAtMs = performance.now();
		const received = await call(pathOf(index), 'first', method, reading);
		const endedAtMs = reading === 'stops' ? sentAtMs + limitMs : received.endedAtMs;
		const instanceClosedAtMs = await Promise.race([...instances.map(async ({closedAtMs}) => closedAtMs), delay(2 * endSlackMs, Number.POSITIVE_INFINITY)]);
		expect(`${received.statusCode} ${received.isWhole ? 'whole' : 'cut'}`).to.equal(expected);
		expect(endedAtMs - sentAtMs, 'time until the end of the answer').to.be.below(limitMs + endSlackMs);
		expect(instanceClosedAtMs - endedAtMs, 'time until the connection was closed').to.be.below(endSlackMs);
	};

	const checkNext = async (index: number, isPassedOn: boolean): Promise<void> => {
		if (!isPassedOn) {
			expect(services[index]!.instances[0]!.takenBytes(), 'bytes taken').to.be.below(maxUnreadBytes);
		}

		const next = await call(pathOf(index), 'next', 'GET', 'reads');
		expect([next.statusCode, next.text, next.isWhole]).to.deep.equal([200, 'next', true]);
	};

	for (const [index, testCase] of cases.entries()) {
		it(`is cut off when it sends ${testCase.title}`, async () => {
			await check(index, testCase);
			await checkNext(index, testCase.isPassedOn ?? false);
		});
	}

	for (const [index, {title, expected}] of retried.entries()) {
		it(title, async () => check(cases.length + index, {expected}));
	}

	for (const [place, {title}] of abandoned.entries()) {
		it(`is cut off when its caller has left before it sends ${title}, and its next request is served`, async () => {
			const index = cases.length + retried.length + pipelined.length + place;
			const [instance] = services[index]!.instances;
			const socket = net.connect(entryPort, address);
			socket.write(`GET ${pathOf(index)} HTTP/1.1\r\nhost: a.example\r\negretwing-request-id: q\r\negretwing-deadline-ms: 5000\r\n\r\n`);
			await delay(abandonedAfterMs);
			expect(instance!.ids).to.deep.equal(['q']);
			socket.destroy();
			expect(await Promise.race([instance!.closedAtMs, delay(endSlackMs)]), 'time at which the connection to the instance was closed').to.be.a('number');
			await checkNext(index, false);
		});
	}

	it('has its answer replaced by a refusal when it is cut off behind an earlier pending one, and the connection stays open', async () => {
		const requests = pipelined.map((_, index) => [
			`GET ${pathOf(cases.length + retried.length + index)} HTTP/1.1`, 'host: a.example', `egretwing-request-id: q${index}`, 'egretwing-deadline-ms: 5000', '', '',
		].join('\r\n'));
		const socket = net.connect(entryPort, address);
		const chunks: Buffer[] = [];
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			chunks.push(chunk);
		});
		socket.write(requests.join(''));
		const closed = new Promise<string>(resolve => {
			socket.once('close', () => {
				resolve('closed');
			});
		});
		const end = await Promise.race([closed, delay(longTimeoutMs + endSlackMs, 'open')]);
		socket.destroy();
		const answers = parseAnswers(Buffer.concat(chunks));
		expect(answers.map(({statusCode, headers}) => `${statusCode} ${headers['egretwing-kind']}`)).to.deep.equal(['504 request-timeout', '502 outcome-unknown']);
		expect(end).to.equal('open');
		const firstPipelined = cases.length + retried.length;
		for (const {instances} of services.slice(firstPipelined, firstPipelined + pipelined.length)) {
			expect(await Promise.race([instances[0]!.closedAtMs, delay(endSlackMs)]), 'time at which the connection to the instance was closed').to.be.a('number');
		}
	});
});
