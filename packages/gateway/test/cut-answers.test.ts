import {Buffer} from 'node:buffer';
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

const address = `${networkOf(218)}.1`;
const port = 21_700;
const logLevel = 3;
const timeoutMs = 600;
/** Time within which a request ends that its instance breaks. */
const endWithinMs = 1500;
/** Time between the parts of an answer and its end, so that the parts have arrived. */
const partMs = 30;
const asOf = 100_000;

const signed = 'egretwing-request-id: {id}\r\negretwing-signature: s\r\n';
const heads = {
	'without a length': `HTTP/1.1 200 OK\r\n${signed}connection: close\r\n\r\n`,
	'with a length': `HTTP/1.1 200 OK\r\n${signed}content-length: 5000000\r\n\r\n`,
	'in chunks': `HTTP/1.1 200 OK\r\n${signed}transfer-encoding: chunked\r\n\r\n`,
};
const parts = {'a small part': 'x'.repeat(500), 'a part that is passed on': 'x'.repeat(1_500_000)};
const ends = ['an end of the connection', 'a reset', 'silence'] as const;
const times = ['when the head of the request has arrived', 'during the upload', 'after the upload'] as const;
const uploads = {'a small upload': 70_000, 'a large upload': 8_000_000};

type Script = {
	/** Text of the answer, with its head. */
	readonly answer: string;
	readonly end: typeof ends[number];
	readonly time: typeof times[number];
};

type Case = {
	readonly title: string;
	readonly script: Script;
	readonly uploadBytes: number;
	readonly isPipelined: boolean;
	readonly expected: string;
};

const chunked = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** What the caller may see: a part is refused while all of it is held, and ends with a reset once a part of it was passed on. */
const expectedOf = (framing: keyof typeof heads, part: keyof typeof parts, end: Script['end']): string => {
	if (framing === 'without a length' && end === 'an end of the connection') {
		return '200 whole';
	}

	if (part === 'a part that is passed on') {
		return '200 cut';
	}

	return end === 'silence' ? '504 whole unknown' : '502 whole unknown';
};

const cases: readonly Case[] = (Object.keys(heads) as Array<keyof typeof heads>).flatMap(framing =>
	(Object.keys(parts) as Array<keyof typeof parts>).flatMap(part => ends.flatMap(end => times.flatMap(time =>
		(Object.keys(uploads) as Array<keyof typeof uploads>).flatMap(upload => [false, true].flatMap((isPipelined): readonly Case[] => {
			// Behind another request, what is passed on is whole or cut as it is alone; so is a small upload that is answered early.
			const isLeftOut = (isPipelined && part === 'a part that is passed on') || (upload === 'a small upload' && time === 'during the upload');
			return isLeftOut
				? []
				: [{
					title: `${part} of an answer ${framing}, ${time} and then ${end}, for ${upload}${isPipelined ? ' behind another request' : ''}`,
					script: {answer: heads[framing] + (framing === 'in chunks' ? chunked(parts[part]) : parts[part]), end, time},
					uploadBytes: uploads[upload],
					isPipelined,
					expected: expectedOf(framing, part, end),
				}];
		}))))));

const okAnswer = `HTTP/1.1 200 OK\r\n${signed}content-length: 2\r\n\r\nok`;

/** First lines that are no answer; each but the last two would be one with another status. */
const statusLines: readonly string[] = [
	'HTTP/1.1 000 No', 'HTTP/1.1 099 No', 'HTTP/1.1 600 No', 'HTTP/1.1 999 No', 'HTTP/1.1 1000 No', 'HTTP/1.1 20 No', 'HTTP/1.1 -200 No', 'HTTP/1.1 2x0 No', 'HTTP/1.1  No', 'HTTP/1.1',
];

type TestService = {
	readonly semantics: 'idempotent' | 'at-most-once';
	readonly instances: ReadonlyArray<Awaited<ReturnType<typeof startInstance>>>;
};

const textEnd = '\r\n\r\n';

/** Answers the first request for a path with `/cut/` as the script says, each other one with `ok`. */
const startInstance = async ({answer, end, time}: Script, seen: {count: number}) => {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		let head = '';
		let bodyBytes = 0;
		let isAnswered = false;
		const finish = async (): Promise<void> => {
			const id = /egretwing-request-id: (\S+)/v.exec(head)?.[1] ?? '';
			const isCut = head.includes('/cut/') && seen.count === 0;
			if (!isCut) {
				socket.write(okAnswer.replace('{id}', id));
				head = '';
				bodyBytes = 0;
				return;
			}

			isAnswered = true;
			seen.count++;
			socket.write(answer.replace('{id}', id));
			if (time !== 'after the upload') {
				socket.pause();
			}

			await delay(partMs);
			if (end === 'a reset') {
				socket.resetAndDestroy();
			} else if (end === 'an end of the connection') {
				socket.end();
			}
		};

		socket.on('data', bytes => {
			if (isAnswered) {
				return;
			}

			const text = bytes.toString('latin1');
			if (head.includes(textEnd)) {
				bodyBytes += text.length;
			} else {
				head += text;
				bodyBytes = Math.max(0, head.length - head.indexOf(textEnd) - textEnd.length);
			}

			if (!head.includes(textEnd)) {
				return;
			}

			const wantedBytes = Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? 0);
			const isDue = bodyBytes >= wantedBytes || (head.includes('/cut/') && (time === 'when the head of the request has arrived' || (time === 'during the upload' && bodyBytes > 0)));
			if (isDue) {
				void finish();
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		seen,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

const createStore = (services: readonly TestService[]): StoreClient => ({
	async readAll(topic) {
		const config: FleetConfig = {
			version: 1,
			routes: services.map(({semantics}, index) => ({
				name: `r-${index}`, hostName: 'a.example', pathPrefix: `/${index}/`, semantics, timeoutMs, latencyObjectiveMs: timeoutMs, maxAttempts: 2, rank: 1, services: [{service: `s-${index}`, weight: 1}],
			})),
			services: services.map((_, index) => ({name: `s-${index}`, healthPath: '/', connectionsPerInstance: 10})),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 16_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
			},
		};
		const entries = services.flatMap(({instances}, index) => instances.map((instance): InstanceEntry => ({
			instanceId: `i-${instance.port}`,
			revision: instance.port,
			record: {
				service: `s-${index}`, address, port: instance.port, dataCentre: 'a', slots: 4, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
			},
		})));
		return Ok(topic === 'config'
			? {
				config, entries: [], refused: [], asOf,
			}
			: {entries, refused: [], asOf});
	},
	async watch() {
		await delay(200);
		return Ok({entries: [], refused: [], asOf});
	},
	close: () => undefined,
});

/** The last of the answers on a connection, as its caller sees it: status, whether it looks complete, and what it says of the run. */
const readLast = (bytes: Buffer, isEnded: boolean, isReset: boolean, skipped: number): string | undefined => {
	let text = bytes.toString('latin1');
	for (let index = 0; index <= skipped; index++) {
		const headEnd = text.indexOf(textEnd);
		if (headEnd === -1) {
			return undefined;
		}

		const head = text.slice(0, headEnd);
		const body = text.slice(headEnd + textEnd.length);
		const length = /content-length: (\d+)/iv.exec(head)?.[1];
		const isChunked = /transfer-encoding: chunked/iv.test(head);
		const lengthBytes = length === undefined ? Number.POSITIVE_INFINITY : Number(length);
		if (index < skipped) {
			text = body.slice(lengthBytes);
			continue;
		}

		const isWhole = isChunked ? body.endsWith('0\r\n\r\n') : (length === undefined ? isEnded && !isReset : body.length >= lengthBytes);
		if (isWhole || isEnded) {
			const ran = /egretwing-ran: (\S+)/v.exec(head)?.[1];
			return `${head.slice(9, 12)} ${isWhole ? 'whole' : 'cut'}${ran === undefined ? '' : ` ${ran}`}`;
		}
	}

	return undefined;
};

describe('an instance whose answer is cut short or none', function () {
	this.timeout(10_000);
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const services: TestService[] = [];
	let gateway: Gateway;
	let lastId = 0;

	before(async () => {
		for (const {script} of cases) {
			services.push({semantics: 'at-most-once', instances: [await startInstance(script, {count: 0})]});
		}

		for (const line of statusLines) {
			const script: Script = {answer: `${line}\r\n${signed}content-length: 2\r\n\r\nno`, end: 'silence', time: 'after the upload'};
			services.push({semantics: 'at-most-once', instances: [await startInstance(script, {count: 0})]});
			const seen = {count: 0};
			services.push({semantics: 'idempotent', instances: [await startInstance(script, seen), await startInstance(script, seen)]});
			const denied = {...script, answer: script.answer.replace('\r\n', '\r\negretwing-not-executed: 1\r\n')};
			services.push({semantics: 'at-most-once', instances: [await startInstance(denied, {count: 0})]});
		}

		const logger = createLogger('test', 'g', logLevel, line => {
			lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
		});
		gateway = await startGateway(createTestSettings('g', address, port), {store: createStore(services), headerNames: defaultHeaderNames, logger});
		while (!gateway.isReady()) {
			await delay(20);
		}
	});

	after(async () => {
		await gateway.shutdown();
		for (const instance of services.flatMap(({instances}) => instances)) {
			instance.close();
		}
	});

	/** Sends a request, behind another one if it is pipelined, and returns its id and what its caller sees. */
	const call = async (index: number, uploadBytes: number, isPipelined: boolean): Promise<{readonly id: string; readonly seen: string | undefined}> => {
		lastId++;
		const id = `q${lastId}`;
		const socket = net.connect({host: address, port});
		const chunks: Buffer[] = [];
		let isEnded = false;
		let isReset = false;
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('data', bytes => {
			chunks.push(bytes);
		});
		// Node.js reports a reset that comes with the last bytes as an end; the socket has no peer then.
		socket.once('end', () => {
			isReset ||= socket.remoteAddress === undefined;
		});
		socket.once('close', () => {
			isEnded = true;
		});
		if (isPipelined) {
			socket.write(`GET /${index}/first/ HTTP/1.1\r\nhost: a.example\r\negretwing-request-id: ${id}-first\r\n\r\n`);
		}

		socket.write(`POST /${index}/cut/ HTTP/1.1\r\nhost: a.example\r\negretwing-request-id: ${id}\r\ncontent-length: ${uploadBytes}\r\n\r\n`);
		socket.write(new Uint8Array(uploadBytes));
		const endsAtMs = Date.now() + endWithinMs;
		let seen: string | undefined;
		while (seen === undefined && Date.now() < endsAtMs) {
			await delay(20);
			seen = readLast(Buffer.concat(chunks), isEnded, isReset, isPipelined ? 1 : 0);
		}

		socket.destroy();
		return {id, seen};
	};

	for (const [index, {title, uploadBytes, isPipelined, expected}] of cases.entries()) {
		it(`is not taken for one with a whole answer: ${title}`, async () => {
			const {id, seen} = await call(index, uploadBytes, isPipelined);
			expect(seen).to.equal(expected);
			if (expected.startsWith('502') || expected.startsWith('200 cut')) {
				const line = lines.find(({message, requestId}) => requestId === id && (message === 'attempt failed' || message === 'answer cut'));
				expect(line).to.include({instanceId: `i-${services[index]!.instances[0]!.port}`, cause: 'cut'});
				expect(line?.arrivedBytes).to.be.above(500);
			}
		});
	}

	for (const [place, statusLine] of statusLines.entries()) {
		const index = cases.length + (3 * place);

		it(`is not taken for one that answered when its first line is "${statusLine}": a request that runs once gets an unknown outcome`, async () => {
			const {id, seen} = await call(index, 10, false);
			expect(seen).to.equal('502 whole unknown');
			const line = lines.find(({message, requestId}) => requestId === id && message === 'attempt failed');
			expect(line).to.include({instanceId: `i-${services[index]!.instances[0]!.port}`, cause: 'invalid', result: 'broken'});
			expect(line?.arrivedBytes).to.be.above(0);
		});

		it(`is replaced by another one when its first line is "${statusLine}" and the request may run twice`, async () => {
			expect(await call(index + 1, 10, false)).to.include({seen: '200 whole'});
			expect(services[index + 1]!.instances[0]!.seen.count).to.equal(1);
		});

		it(`makes no promise when its first line is "${statusLine}" and a header says that the request did not run`, async () => {
			expect(await call(index + 2, 10, false)).to.include({seen: '502 whole unknown'});
		});
	}
});
