import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetConfig, InstanceEntry} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {
	startEndlessInstance, wholeAnswer, type EndlessAnswer, type EndlessInstance,
} from './support/endless-instance.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(209)}.1`;
/** Below the ports that the system hands out to connections and to the instances of these tests. */
const entryPort = 21_700;

const timeoutMs = 500;
/** Time after its limit, or after its end, in which a request and its connections are ended. */
const endSlackMs = 400;
/** What buffers of a connection and of the gateway may take of an answer that nobody reads; far below what is offered. */
const maxUnreadBytes = 25_165_824;

const signed = 'egretwing-request-id: {id}\r\negretwing-signature: s\r\n';
const unboundedHead = `HTTP/1.1 200 OK\r\n${signed}connection: close\r\n\r\n`;
const chunkedHead = `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n`;
const longHead = `HTTP/1.1 200 OK\r\n${signed}content-length: 1000000000\r\n\r\n`;
const notExecutedHead = 'HTTP/1.1 503 Full\r\negretwing-not-executed: 1\r\n';
const kilobyte = 'x'.repeat(1024);
const chunk = `400\r\n${kilobyte}\r\n`;

/** What the caller does once its answer has begun. */
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
	/** Status that the caller gets, and whether its answer looks whole. */
	readonly expected: string;
	/** True when the caller is given all that the instance sends until the limit. */
	readonly isPassedOn?: boolean;
};

/** Answers that reach no caller. */
const unusable: readonly Case[] = [
	{title: 'a status line', answer: {start: 'HTTP/1.1 200 ', piece: kilobyte}, expected: '502 whole'},
	{title: 'bytes that are no answer', answer: {start: '', piece: kilobyte}, expected: '502 whole'},
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
	{title: 'a body of an instance that is not meant', answer: {start: 'HTTP/1.1 421 No\r\ntransfer-encoding: chunked\r\n\r\n', piece: chunk}, expected: '503 whole'},
];

/** Bytes after a whole answer, in the same packet and while the connection is idle. */
const excess: readonly Case[] = ([{when: 'at once'}, {when: 'later', afterMs: 50}] as const).flatMap(({when, ...pause}): readonly Case[] => [
	{title: `bytes after a whole answer, ${when}`, answer: {start: `HTTP/1.1 200 OK\r\n${signed}content-length: 2\r\n\r\nok`, piece: kilobyte, ...pause}, expected: '200 whole'},
	{title: `answers after a whole answer, ${when}`, answer: {start: `HTTP/1.1 200 OK\r\n${signed}content-length: 0\r\n\r\n`, piece: wholeAnswer('other'), ...pause}, expected: '200 whole'},
	{
		title: `bytes after an answer to HEAD, ${when}`, method: 'HEAD', answer: {start: longHead, piece: kilobyte, ...pause}, expected: '200 whole',
	},
	{title: `bytes after an answer 204, ${when}`, answer: {start: `HTTP/1.1 204 None\r\n${signed}\r\n`, piece: kilobyte, ...pause}, expected: '204 whole'},
	{title: `chunks after the last chunk, ${when}`, answer: {start: `${chunkedHead}0\r\n\r\n`, piece: chunk, ...pause}, expected: '200 whole'},
]);

const cases: readonly Case[] = [...unusable, ...excess];

const pathOf = (index: number): string => `/case-${index}/`;

const createConfig = (count: number): FleetConfig => ({
	version: 1,
	routes: Array.from({length: count}, (_, index) => ({
		name: `case-${index}`,
		hostName: 'a.example',
		pathPrefix: pathOf(index),
		semantics: 'at-most-once',
		timeoutMs,
		latencyObjectiveMs: timeoutMs,
		maxAttempts: 2,
		rank: 1,
		services: [{service: `s-${index}`, weight: 1}],
	})),
	services: Array.from({length: count}, (_, index) => ({name: `s-${index}`, healthPath: '/', connectionsPerInstance: 10})),
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
});

/** Each case has a service of its own with one instance. */
const createStore = (instances: readonly EndlessInstance[]): StoreClient => ({
	async readAll(topic) {
		return Ok({
			...(topic === 'config' && {config: createConfig(instances.length)}),
			entries: topic === 'config'
				? []
				: instances.map(({port}, index): InstanceEntry => ({
					instanceId: `i-${index}`,
					revision: index + 1,
					record: {
						service: `s-${index}`, address, port, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
					},
				})),
			refused: [],
			asOf: 1000,
		});
	},
	async watch() {
		await delay(200);
		return Ok({entries: [], refused: [], asOf: 1000});
	},
	close: () => undefined,
});

/** Sends a request on a connection of its own. */
const call = async (path: string, id: string, method: 'GET' | 'HEAD', reading: Reading): Promise<Received> => new Promise((resolve, reject) => {
	const outgoing = http.request({
		host: address, port: entryPort, path, agent: false, method, headers: {host: 'a.example', 'egretwing-request-id': id, 'egretwing-deadline-ms': '5000'},
	}, response => {
		const {socket} = response;
		const chunks: Buffer[] = [];
		const end = (): void => {
			// The library takes a reset for the end of an answer without a length.
			const isWhole = response.complete && socket.errored === null;
			resolve({
				statusCode: response.statusCode!, text: Buffer.concat(chunks).toString(), isWhole, endedAtMs: performance.now(),
			});
		};

		response.on('data', (data: Buffer) => {
			chunks.push(data);
			if (reading === 'leaves') {
				socket.destroy();
			}

			if (reading === 'stops') {
				response.pause();
				setTimeout(() => {
					response.resume();
				}, timeoutMs + endSlackMs);
			}
		});
		response.once('error', end);
		response.once('end', end);
	});
	outgoing.once('error', reject);
	outgoing.end();
});

describe('an instance that sends without end', () => {
	let gateway: Gateway;
	let instances: readonly EndlessInstance[] = [];

	before(async () => {
		instances = await Promise.all(cases.map(async ({answer}) => startEndlessInstance(address, answer)));
		gateway = await startGateway(createTestSettings('g', address, entryPort), {store: createStore(instances), headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0)});
		while (!gateway.isReady()) {
			await delay(20);
		}
	});

	after(async () => {
		await gateway.shutdown();
		for (const instance of instances) {
			instance.close();
		}
	});

	const check = async (index: number, {method = 'GET', reading = 'reads', expected, isPassedOn = false}: Case): Promise<void> => {
		const {closedAtMs, takenBytes} = instances[index]!;
		const sentAtMs = performance.now();
		const received = await call(pathOf(index), 'first', method, reading);
		const endedAtMs = reading === 'stops' ? sentAtMs + timeoutMs : received.endedAtMs;
		const instanceClosedAtMs = await Promise.race([closedAtMs, delay(2 * endSlackMs, Number.POSITIVE_INFINITY)]);
		expect(`${received.statusCode} ${received.isWhole ? 'whole' : 'cut'}`).to.equal(expected);
		expect(endedAtMs - sentAtMs, 'time until the end of the answer').to.be.below(timeoutMs + endSlackMs);
		expect(instanceClosedAtMs - endedAtMs, 'time until the connection was closed').to.be.below(endSlackMs);
		if (!isPassedOn) {
			expect(takenBytes(), 'bytes taken').to.be.below(maxUnreadBytes);
		}

		const next = await call(pathOf(index), 'next', 'GET', 'reads');
		expect([next.statusCode, next.text, next.isWhole]).to.deep.equal([200, 'next', true]);
	};

	for (const [index, testCase] of cases.entries()) {
		it(`is cut off when it sends ${testCase.title}`, async () => check(index, testCase));
	}
});
