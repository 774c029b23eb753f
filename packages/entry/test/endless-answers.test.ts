import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {startEndlessInstance, type EndlessAnswer} from '../../../test/support/endless-instance.ts';
import {instanceAt, startHarness} from './support/harness.ts';

const address = '127.0.0.1';
const timeoutMs = 400;
/** Maximum time from the timeout of a request, or from its end, until its connections are closed. */
const closeToleranceMs = 400;
/** Timeout of the caller. */
const callerTimeoutMs = 2000;
const bodyIdleTimeoutMs = 100;
/** Time after which a caller that reads nothing is disconnected; twice the timeouts, as the connection buffers fill up first. */
const stalledReaderLimitMs = 2 * (bodyIdleTimeoutMs + timeoutMs);
/** Time for which a caller reads nothing of its response. */
const readPauseMs = 1500;
/** Maximum number of bytes that connection buffers may take of a response that nobody reads; far less than what is offered. */
const maxUnreadBytes = 25_165_824;

const records = [
	{
		kind: 'service', schemaVersion: 2, name: 'seatledger', revision: 1, requestTimeoutMs: timeoutMs, slotsPerInstance: 64, notRunStatusCodes: [503],
	},
	{
		kind: 'route', schemaVersion: 2, name: 'seats', revision: 1, pathPrefix: '/seats', service: 'seatledger', semantics: 'at-most-once',
	},
	{
		kind: 'route', schemaVersion: 2, name: 'rosters', revision: 1, pathPrefix: '/rosters', service: 'seatledger', semantics: 'idempotent',
	},
];

const kilobyte = 'x'.repeat(1024);
const chunk = `400\r\n${kilobyte}\r\n`;
const chunkedHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const longHead = 'HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n';

/** What the caller does after its response has started. */
type ReadBehaviour = 'reads' | 'leaves' | 'stops';

type Received = {
	/** Status code and whether the response looks complete; `closed` if no response started. */
	readonly result: string;
	readonly text: string;
	readonly endedAtMs: number;
};

type Case = {
	readonly title: string;
	readonly answer: EndlessAnswer;
	readonly method?: 'GET' | 'HEAD';
	readonly reading?: ReadBehaviour;
	/** Result for the caller. */
	readonly expected: string;
};

const cases: readonly Case[] = [
	{title: 'a slow status line', answer: {start: 'HTTP/1.1 200 ', piece: kilobyte, pauseMs: 20}, expected: '504 whole'},
	{title: 'bytes that are not a response', answer: {start: '', piece: kilobyte}, expected: '502 whole'},
	{title: 'an endless header', answer: {start: 'HTTP/1.1 200 OK\r\nx-long: ', piece: kilobyte}, expected: '502 whole'},
	{title: 'endless header lines', answer: {start: 'HTTP/1.1 200 OK\r\n', piece: 'x: y\r\n'}, expected: '502 whole'},
	{title: 'slow header lines', answer: {start: 'HTTP/1.1 200 OK\r\n', piece: 'x: y\r\n', pauseMs: 20}, expected: '504 whole'},
	{title: 'informational responses', answer: {start: '', piece: 'HTTP/1.1 103 Early Hints\r\n\r\n'}, expected: '502 whole'},
	{title: 'slow informational responses', answer: {start: '', piece: 'HTTP/1.1 103 Early Hints\r\n\r\n', pauseMs: 50}, expected: '504 whole'},
	{title: '100 Continue responses', answer: {start: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n'}, expected: '502 whole'},
	{title: 'slow chunk extensions', answer: {start: `${chunkedHead}4;`, piece: kilobyte, pauseMs: 20}, expected: 'closed'},
	{title: 'endless trailers', answer: {start: `${chunkedHead}0\r\n`, piece: 'x: y\r\n'}, expected: 'closed'},
	{title: 'a body without a length', answer: {start: 'HTTP/1.1 200 OK\r\n\r\n', piece: kilobyte}, expected: '502 whole'},
	{title: 'a body in a response to a request that was not run', answer: {start: 'HTTP/1.1 503 Full\r\ncontent-length: 1000000000\r\n\r\n', piece: kilobyte}, expected: '503 whole'},
	{
		title: 'a chunked body to a caller that disconnects', answer: {start: chunkedHead, piece: chunk}, reading: 'leaves', expected: '200 cut',
	},
	{
		title: 'a chunked body to a caller that stops reading', answer: {start: chunkedHead, piece: chunk}, reading: 'stops', expected: '200 cut',
	},
	{
		title: 'a body with a length to a caller that disconnects', answer: {start: longHead, piece: kilobyte}, reading: 'leaves', expected: '200 cut',
	},
	{
		title: 'a body with a length to a caller that stops reading', answer: {start: longHead, piece: kilobyte}, reading: 'stops', expected: '200 cut',
	},
	{
		title: 'a body byte by byte to a caller that disconnects', answer: {start: longHead, piece: 'x', pauseMs: 20}, reading: 'leaves', expected: '200 cut',
	},
	...([{when: 'immediately'}, {when: 'later', afterMs: 50}] as const).flatMap(({when, ...pause}): readonly Case[] => [
		{title: `bytes after a complete response, ${when}`, answer: {start: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', piece: kilobyte, ...pause}, expected: '200 whole'},
		{title: `bytes after a 204 response, ${when}`, answer: {start: 'HTTP/1.1 204 None\r\n\r\n', piece: kilobyte, ...pause}, expected: '204 whole'},
		{
			title: `bytes after a response to HEAD, ${when}`, method: 'HEAD', answer: {start: longHead, piece: kilobyte, ...pause}, expected: '200 whole',
		},
		{title: `chunks after the last chunk, ${when}`, answer: {start: `${chunkedHead}0\r\n\r\n`, piece: chunk, ...pause}, expected: '200 whole'},
	]),
];

/** Sends a request on a new connection. */
const call = async (url: string, id: string, method: 'GET' | 'HEAD', reading: ReadBehaviour): Promise<Received> => new Promise(resolve => {
	const outgoing = http.request(url, {
		agent: false, method, signal: AbortSignal.timeout(callerTimeoutMs), headers: {'egretwing-request-id': id},
	});
	const chunks: Buffer[] = [];
	const end = (result: string): void => {
		resolve({result, text: Buffer.concat(chunks).toString(), endedAtMs: performance.now()});
	};

	outgoing.once('response', response => {
		const {statusCode, socket} = response;
		response.on('data', (data: Buffer) => {
			chunks.push(data);
			if (reading === 'leaves') {
				socket.destroy();
			}

			if (reading === 'stops' && chunks.length === 1) {
				response.pause();
				setTimeout(() => {
					response.resume();
				}, readPauseMs);
			}
		});
		response.once('error', () => {
			end(`${statusCode} cut`);
		});
		response.once('end', () => {
			end(`${statusCode} whole`);
		});
	});
	outgoing.once('error', () => {
		end('closed');
	});
	outgoing.end();
});

/** Sends a request to a backend server that responds without end, and checks that both connections are closed in time. */
const check = async (path: string, {answer, method = 'GET', reading = 'reads', expected}: Case): Promise<void> => {
	const instance = await startEndlessInstance(address, answer);
	const harness = await startHarness({
		records, instances: [instanceAt('b1', 'seatledger', instance.port)], settings: {bodyIdleTimeoutMs, drainTimeoutMs: 100},
	});
	try {
		const sentAtMs = performance.now();
		const received = await call(harness.url + path, 'first', method, reading);
		const durationMs = reading === 'stops' ? stalledReaderLimitMs : received.endedAtMs - sentAtMs;
		const endedAtMs = sentAtMs + durationMs;
		const instanceClosedAtMs = await Promise.race([instance.closedAtMs, delay(2 * closeToleranceMs, Number.POSITIVE_INFINITY)]);
		expect(received.result).to.equal(expected);
		expect(durationMs, 'time until the end of the response').to.be.at.most(reading === 'stops' ? stalledReaderLimitMs : timeoutMs + closeToleranceMs);
		expect(instanceClosedAtMs - endedAtMs, 'time until the connection was closed').to.be.below(closeToleranceMs);
		expect(instance.takenBytes(), 'bytes accepted').to.be.below(maxUnreadBytes);
		const next = await call(harness.url + path, 'next', 'GET', 'reads');
		expect([next.result, next.text]).to.deep.equal(['200 whole', 'next']);
	} finally {
		instance.close();
		await harness.close();
	}
};

describe('a backend server that sends without end', () => {
	for (const path of ['/seats/1', '/rosters/1']) {
		for (const testCase of cases) {
			it(`is cut off when it sends ${testCase.title} (${path})`, async () => check(path, testCase));
		}
	}
});
