import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {startEndlessInstance, type EndlessAnswer} from '../../../test/support/endless-instance.ts';
import {instanceAt, startHarness} from './support/harness.ts';

const address = '127.0.0.1';
const timeoutMs = 400;
/** Time after its limit, or after its end, in which a request and its connections are ended. */
const endSlackMs = 400;
/** Time after which a caller gives up in any case. */
const patienceMs = 2000;
const bodyIdleTimeoutMs = 100;
/** Time after which a caller that takes nothing is cut off: a connection still takes something before its buffers are full. */
const stalledReaderMs = 2 * (bodyIdleTimeoutMs + timeoutMs);
/** Time for which a caller takes nothing of its answer. */
const stopMs = 1500;
/** What buffers of a connection may take of an answer that nobody reads; far below what is offered. */
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

/** What the caller does once its answer has begun. */
type Reading = 'reads' | 'leaves' | 'stops';

type Received = {
	/** Status and whether the answer looks whole; `closed` when none began. */
	readonly result: string;
	readonly text: string;
	readonly endedAtMs: number;
};

type Case = {
	readonly title: string;
	readonly answer: EndlessAnswer;
	readonly method?: 'GET' | 'HEAD';
	readonly reading?: Reading;
	/** Result for the caller. */
	readonly expected: string;
};

const cases: readonly Case[] = [
	{title: 'a status line, slowly', answer: {start: 'HTTP/1.1 200 ', piece: kilobyte, pauseMs: 20}, expected: '504 whole'},
	{title: 'bytes that are no answer', answer: {start: '', piece: kilobyte}, expected: '502 whole'},
	{title: 'the bytes of a header', answer: {start: 'HTTP/1.1 200 OK\r\nx-long: ', piece: kilobyte}, expected: '502 whole'},
	{title: 'header lines', answer: {start: 'HTTP/1.1 200 OK\r\n', piece: 'x: y\r\n'}, expected: '502 whole'},
	{title: 'header lines, slowly', answer: {start: 'HTTP/1.1 200 OK\r\n', piece: 'x: y\r\n', pauseMs: 20}, expected: '504 whole'},
	{title: 'informational answers', answer: {start: '', piece: 'HTTP/1.1 103 Early Hints\r\n\r\n'}, expected: '502 whole'},
	{title: 'informational answers, slowly', answer: {start: '', piece: 'HTTP/1.1 103 Early Hints\r\n\r\n', pauseMs: 50}, expected: '504 whole'},
	{title: 'continue answers', answer: {start: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n'}, expected: '502 whole'},
	{title: 'extensions of a chunk, slowly', answer: {start: `${chunkedHead}4;`, piece: kilobyte, pauseMs: 20}, expected: 'closed'},
	{title: 'trailers', answer: {start: `${chunkedHead}0\r\n`, piece: 'x: y\r\n'}, expected: 'closed'},
	{title: 'a body without a length', answer: {start: 'HTTP/1.1 200 OK\r\n\r\n', piece: kilobyte}, expected: '502 whole'},
	{title: 'a body of a request that did not run', answer: {start: 'HTTP/1.1 503 Full\r\ncontent-length: 1000000000\r\n\r\n', piece: kilobyte}, expected: '503 whole'},
	{
		title: 'a body in chunks to a caller that leaves', answer: {start: chunkedHead, piece: chunk}, reading: 'leaves', expected: '200 cut',
	},
	{
		title: 'a body in chunks to a caller that stops reading', answer: {start: chunkedHead, piece: chunk}, reading: 'stops', expected: '200 cut',
	},
	{
		title: 'a body with a length to a caller that leaves', answer: {start: longHead, piece: kilobyte}, reading: 'leaves', expected: '200 cut',
	},
	{
		title: 'a body with a length to a caller that stops reading', answer: {start: longHead, piece: kilobyte}, reading: 'stops', expected: '200 cut',
	},
	{
		title: 'a body byte by byte to a caller that leaves', answer: {start: longHead, piece: 'x', pauseMs: 20}, reading: 'leaves', expected: '200 cut',
	},
	...([{when: 'at once'}, {when: 'later', afterMs: 50}] as const).flatMap(({when, ...pause}): readonly Case[] => [
		{title: `bytes after a whole answer, ${when}`, answer: {start: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', piece: kilobyte, ...pause}, expected: '200 whole'},
		{title: `bytes after an answer 204, ${when}`, answer: {start: 'HTTP/1.1 204 None\r\n\r\n', piece: kilobyte, ...pause}, expected: '204 whole'},
		{
			title: `bytes after an answer to HEAD, ${when}`, method: 'HEAD', answer: {start: longHead, piece: kilobyte, ...pause}, expected: '200 whole',
		},
		{title: `chunks after the last chunk, ${when}`, answer: {start: `${chunkedHead}0\r\n\r\n`, piece: chunk, ...pause}, expected: '200 whole'},
	]),
];

/** Sends a request on a connection of its own. */
const call = async (url: string, id: string, method: 'GET' | 'HEAD', reading: Reading): Promise<Received> => new Promise(resolve => {
	const outgoing = http.request(url, {
		agent: false, method, signal: AbortSignal.timeout(patienceMs), headers: {'egretwing-request-id': id},
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
				}, stopMs);
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

/** Sends a request whose backend server answers without end, and checks that both ends are closed in time. */
const check = async (path: string, {answer, method = 'GET', reading = 'reads', expected}: Case): Promise<void> => {
	const instance = await startEndlessInstance(address, answer);
	const harness = await startHarness({
		records, instances: [instanceAt('b1', 'seatledger', instance.port)], settings: {bodyIdleTimeoutMs, drainTimeoutMs: 100},
	});
	try {
		const sentAtMs = performance.now();
		const received = await call(harness.url + path, 'first', method, reading);
		const endedAtMs = reading === 'stops' ? sentAtMs + stalledReaderMs : received.endedAtMs;
		const instanceClosedAtMs = await Promise.race([instance.closedAtMs, delay(2 * endSlackMs, Number.POSITIVE_INFINITY)]);
		expect(received.result).to.equal(expected);
		expect(endedAtMs - sentAtMs, 'time until the end of the answer').to.be.at.most(reading === 'stops' ? stalledReaderMs : timeoutMs + endSlackMs);
		expect(instanceClosedAtMs - endedAtMs, 'time until the connection was closed').to.be.below(endSlackMs);
		expect(instance.takenBytes(), 'bytes taken').to.be.below(maxUnreadBytes);
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
