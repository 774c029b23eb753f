import http from 'node:http';
import net from 'node:net';
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createMemoryBudget} from '@egretwing/core';
import {defaultHeaderNames} from '@egretwing/gateway';
import {maxBufferedAnswerBytes} from '../src/constants.ts';
import type {InstanceNotice} from '../src/instance-notice.ts';
import {
	createUpstream, type UpstreamOptions, type UpstreamOutcome, type UpstreamRequest,
} from '../src/upstream.ts';
import {openBarrier} from './support/errors.ts';

const address = '127.0.0.1';
/** Exceeds the buffers of a loopback connection. */
const longBodyBytes = 16_000_000;
/** What the upstream may hold, more than any answer of these tests. */
const memoryBytes = 67_108_864;

/** An answer whose end is marked by the close of the connection. */
const unboundedAnswer = 'HTTP/1.1 200 OK\r\negretwing-request-id: r1\r\negretwing-signature: s\r\nconnection: close\r\n\r\npart';

/** Starts an instance that answers each request with the next of `answers`, or resets the connection for ''. */
const startInstance = async (answers: readonly string[], end: 'keep' | 'end' | 'reset' = 'keep') => {
	const seen: string[] = [];
	const queue = [...answers];
	let connections = 0;
	const server = net.createServer(socket => {
		connections++;
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			seen.push(bytes.toString('latin1'));
			const answer = queue.shift();
			if (answer === undefined) {
				return;
			}

			if (answer === '') {
				socket.resetAndDestroy();
				return;
			}

			socket.write(answer);
			if (end === 'end') {
				socket.end();
			} else if (end === 'reset') {
				socket.resetAndDestroy();
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	const {port} = server.address() as net.AddressInfo;
	return {
		port, seen, connections: () => connections, close: () => server.close(),
	};
};

const request = (changes: Partial<UpstreamRequest> = {}): UpstreamRequest => ({
	requestId: 'r1', method: 'GET', target: '/a', headers: {host: 'a.example'}, body: null, isIdempotent: true, reserve: () => true, ...changes,
});

const completeAnswer = (id: string, body = 'ok', extra = ''): string =>
	`HTTP/1.1 200 OK\r\negretwing-request-id: ${id}\r\negretwing-signature: s\r\ncontent-length: ${body.length}\r\n${extra}\r\n${body}`;

const describeOutcome = (outcome: UpstreamOutcome): string => {
	switch (outcome.type) {
		case 'answered': {
			return `answered ${outcome.answer.statusCode} ${Buffer.concat(outcome.answer.chunks).toString()}${outcome.answer.isBounded ? '' : ' unbounded'}`;
		}

		case 'not-executed': {
			return `not-executed ${outcome.statusCode}`;
		}

		case 'aborted': {
			return `aborted ${outcome.isSent ? 'sent' : 'unsent'}`;
		}

		case 'unreachable':
		case 'broken': {
			return outcome.type;
		}
	}
};

describe('upstream', () => {
	const create = (onNotice: UpstreamOptions['onNotice'] = () => undefined) => createUpstream({
		nowMs: () => performance.now(), localAddress: address, headerNames: defaultHeaderNames, errors: openBarrier, memory: createMemoryBudget(memoryBytes), onConnect: () => undefined, onNotice,
	});

	// Guards against an exception on an answer, which arises in an event and would end the process.
	it('ends the attempt when the notice of an answer can\'t be handled', async () => {
		const instance = await startInstance([completeAnswer('r1', 'ok', 'egretwing-leaving: 1\r\n')]);
		const places: string[] = [];
		const upstream = createUpstream({
			nowMs: () => performance.now(),
			localAddress: address,
			headerNames: defaultHeaderNames,
			memory: createMemoryBudget(memoryBytes),
			errors: {
				...openBarrier,
				record(place) {
					places.push(place);
				},
			},
			onConnect: () => undefined,
			onNotice() {
				throw new Error('notice');
			},
		});
		const {outcome} = upstream.send({
			service: 's', instanceId: 'i', address, port: instance.port, bornAtMs: 1,
		}, request(), 1000);
		expect(describeOutcome(await outcome)).to.equal('broken');
		expect(places).to.deep.equal(['answer']);
		upstream.close();
		instance.close();
	});

	const noticeCases: ReadonlyArray<{readonly title: string; readonly answer: string; readonly notice: InstanceNotice | undefined}> = [
		{title: 'reports that an instance leaves', answer: completeAnswer('r1', 'ok', 'egretwing-leaving: 1\r\n'), notice: {isLeaving: true}},
		{title: 'reports it when the header is repeated', answer: completeAnswer('r1', 'ok', 'egretwing-leaving: 1\r\negretwing-leaving: 1\r\n'), notice: {isLeaving: true}},
		{
			title: 'reports it although the answer is cut off',
			answer: 'HTTP/1.1 200 OK\r\negretwing-request-id: r1\r\negretwing-leaving: 1\r\ncontent-length: 9\r\n\r\npart',
			notice: {isLeaving: true},
		},
		{
			title: 'reports it although the answer is not signed',
			answer: 'HTTP/1.1 200 OK\r\negretwing-request-id: r1\r\negretwing-leaving: 1\r\ncontent-length: 0\r\n\r\n',
			notice: {isLeaving: true},
		},
		{title: 'reports nothing of an instance that denies it', answer: completeAnswer('r1', 'ok', 'egretwing-leaving: 0\r\n'), notice: undefined},
		{title: 'reports nothing from an answer to another request', answer: completeAnswer('r0', 'ok', 'egretwing-leaving: 1\r\n'), notice: undefined},
		{title: 'reports nothing from another instance at the address', answer: 'HTTP/1.1 421 No\r\negretwing-leaving: 1\r\ncontent-length: 0\r\n\r\n', notice: undefined},
		{
			title: 'reports a pause and that the instance leaves',
			answer: 'HTTP/1.1 503 No\r\negretwing-not-executed: 1\r\nretry-after: 1.5\r\negretwing-leaving: 1\r\ncontent-length: 0\r\n\r\n',
			notice: {isLeaving: true, pauseMs: 1500},
		},
		{
			title: 'limits an absurd pause to a day',
			answer: 'HTTP/1.1 503 No\r\negretwing-not-executed: 1\r\nretry-after: 999999999999\r\ncontent-length: 0\r\n\r\n',
			notice: {isLeaving: false, pauseMs: 86_400_000},
		},
		{title: 'reports no pause from another status', answer: 'HTTP/1.1 429 No\r\negretwing-not-executed: 1\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n', notice: undefined},
	];
	for (const {title, answer, notice} of noticeCases) {
		it(title, async () => {
			const instance = await startInstance([answer], 'end');
			const notices: InstanceNotice[] = [];
			const upstream = create((run, each) => {
				expect(run).to.deep.equal(target);
				notices.push(each);
			});
			const target = {
				instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
			};
			await upstream.send(target, request(), 1000).outcome;
			expect(notices).to.deep.equal(notice === undefined ? [] : [notice]);
			upstream.close();
			instance.close();
		});
	}

	it('repeats a request on another connection while those that carried it are idle', async () => {
		const server = http.createServer((incoming, response) => {
			const id = String(incoming.headers['egretwing-request-id']);
			response.writeHead(200, {'egretwing-request-id': id, 'egretwing-signature': 's', 'content-length': id.length}).end(id);
		});
		await new Promise<void>(resolve => {
			server.listen(0, address, resolve);
		});
		const upstream = create();
		const {port} = server.address() as net.AddressInfo;
		const send = async (requestId: string): Promise<UpstreamOutcome> => {
			const attempt = upstream.send({
				instanceId: 'i', address, port, bornAtMs: 1, service: 's',
			}, request({requestId, headers: {host: 'a.example', 'egretwing-request-id': requestId}}), 1000);
			const outcome = await attempt.outcome;
			await attempt.released;
			return outcome;
		};

		const ids = ['r1', 'r2', 'r3'];
		await Promise.all(ids.map(async id => send(id)));
		for (const id of ids.toReversed()) {
			expect(describeOutcome(await send(id))).to.equal(`answered 200 ${id}`);
		}

		upstream.close();
		server.close();
	});

	const cases: ReadonlyArray<{readonly title: string; readonly answer: string; readonly end?: 'end' | 'reset'; readonly outcome: string}> = [
		{title: 'passes a complete answer', answer: completeAnswer('r1'), outcome: 'answered 200 ok'},
		{title: 'refuses an answer to another request', answer: completeAnswer('r0'), outcome: 'broken'},
		{title: 'refuses a success without a signature', answer: 'HTTP/1.1 200 OK\r\negretwing-request-id: r1\r\ncontent-length: 2\r\n\r\nok', outcome: 'broken'},
		{title: 'passes an answer with large headers', answer: completeAnswer('r1', 'ok', `x-pad: ${'p'.repeat(60_000)}\r\n`), outcome: 'answered 200 ok'},
		{
			title: 'passes an answer with thousands of headers', answer: completeAnswer('r1').replace('\r\n', `\r\n${'x:1\r\n'.repeat(2500)}`), outcome: 'answered 200 ok',
		},
		{
			title: 'refuses a truncated answer', answer: completeAnswer('r1').replace('content-length: 2', 'content-length: 9'), end: 'end', outcome: 'broken',
		},
		// Guards against a status that can't be passed on, which closed the caller's connection without an answer.
		...['000', '099'].map(statusCode => ({
			title: `refuses a signed answer of the status ${statusCode}`, answer: completeAnswer('r1').replace('200', statusCode), outcome: 'broken',
		})),
		{title: 'refuses bytes that are no HTTP answer', answer: 'garbage\r\n\r\n', outcome: 'broken'},
		{title: 'reports a reset after sending as broken', answer: '', outcome: 'broken'},
		{
			title: 'marks an answer without a length as unbounded', answer: unboundedAnswer, end: 'end', outcome: 'answered 200 part unbounded',
		},
		{
			title: 'refuses an answer without a length that a reset ends', answer: unboundedAnswer, end: 'reset', outcome: 'broken',
		},
		{
			title: 'passes a complete answer that a reset follows', answer: completeAnswer('r1'), end: 'reset', outcome: 'answered 200 ok',
		},
		{title: 'passes an error answer of the instance', answer: 'HTTP/1.1 500 No\r\negretwing-request-id: r1\r\ncontent-length: 0\r\n\r\n', outcome: 'answered 500 '},
		...[304, 400, 404, 408, 413, 429, 503].map(statusCode => ({
			title: `refuses an answer ${statusCode} without a signature`, answer: `HTTP/1.1 ${statusCode} No\r\negretwing-request-id: r1\r\ncontent-length: 0\r\n\r\n`, outcome: 'broken',
		})),
		{
			title: 'passes an answer 404 that the instance has signed',
			answer: 'HTTP/1.1 404 No\r\negretwing-request-id: r1\r\negretwing-signature: s\r\ncontent-length: 0\r\n\r\n',
			outcome: 'answered 404 ',
		},
		{
			title: 'passes an answer 503 that the instance has signed',
			answer: 'HTTP/1.1 503 No\r\negretwing-request-id: r1\r\negretwing-signature: s\r\ncontent-length: 0\r\n\r\n',
			outcome: 'answered 503 ',
		},
		{title: 'passes an error answer without a signature whose status code claims nothing about the outcome', answer: 'HTTP/1.1 502 No\r\negretwing-request-id: r1\r\ncontent-length: 0\r\n\r\n', outcome: 'answered 502 '},
		{
			title: 'does not take a refusal of another request as proof that the request did not run',
			answer: 'HTTP/1.1 503 Full\r\negretwing-request-id: r0\r\negretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
			outcome: 'broken',
		},
		{
			title: 'does not take a 421 for another request as proof that another instance has the address',
			answer: 'HTTP/1.1 421 No\r\negretwing-request-id: r0\r\ncontent-length: 0\r\n\r\n',
			outcome: 'broken',
		},
		{
			title: 'reports that a request did not run when the refusal names its id',
			answer: 'HTTP/1.1 503 Full\r\negretwing-request-id: r1\r\negretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
			outcome: 'not-executed 503',
		},
		{title: 'reports that a request did not run when a refusal on a new connection names no id', answer: 'HTTP/1.1 503 Full\r\negretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n', outcome: 'not-executed 503'},
		{title: 'reports that another instance has the address', answer: 'HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n', outcome: 'not-executed 421'},
	];
	for (const {title, answer, end, outcome} of cases) {
		it(title, async () => {
			const instance = await startInstance([answer], end);
			const upstream = create();
			const attempt = upstream.send({
				instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
			}, request(), 1000);
			expect(describeOutcome(await attempt.outcome)).to.equal(outcome);
			upstream.close();
			instance.close();
		});
	}

	it('uses new connections for at-most-once requests after two idle connections were reset, and does not count later resets against the instance', async () => {
		const instance = await startInstance([completeAnswer('r1'), '', completeAnswer('r3'), '', completeAnswer('r5'), '', completeAnswer('r7'), completeAnswer('r8')]);
		const upstream = create();
		const send = async (isIdempotent: boolean, requestId: string): Promise<UpstreamOutcome> => {
			const {outcome} = upstream.send({
				instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
			}, request({isIdempotent, requestId}), 1000);
			const ended = await outcome;
			await delay(150);
			return ended;
		};

		const outcomes: UpstreamOutcome[] = [];
		for (const [index, isIdempotent] of [false, false, false, false, true, true, true, false].entries()) {
			outcomes.push(await send(isIdempotent, `r${index + 1}`));
		}

		expect(outcomes.map(outcome => outcome.type === 'broken' ? `idle loss ${outcome.isIdleLoss}` : outcome.type)).to.deep.equal([
			'answered', 'idle loss false', 'answered', 'idle loss true', 'answered', 'idle loss true', 'answered', 'answered',
		]);
		expect(instance.connections()).to.equal(5);
		upstream.close();
		instance.close();
	});

	it('reports a refused connection as unreachable', async () => {
		const instance = await startInstance([]);
		instance.close();
		const upstream = create();
		expect(describeOutcome(await upstream.send({
			instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
		}, request(), 1000).outcome)).to.equal('unreachable');
		upstream.close();
	});

	it('sends the target instance and the remaining time in headers', async () => {
		const instance = await startInstance([completeAnswer('r1')]);
		const upstream = create();
		await upstream.send({
			instanceId: 'i-7', address, port: instance.port, bornAtMs: 1, service: 's',
		}, request({method: 'POST', body: {chunks: [Buffer.from('bo'), Buffer.from('dy')], sizeBytes: 4}}), 812.6).outcome;
		expect(instance.seen[0]).to.match(/egretwing-target-instance: i-7\r\n/v).and.match(/egretwing-deadline-ms: 812\r\n/v).and.match(/content-length: 4\r\n/v);
		upstream.close();
		instance.close();
	});

	const reuses: ReadonlyArray<readonly [title: string, first: string, connections: number]> = [
		['reuses a connection after a complete answer', completeAnswer('r1'), 1],
		['reuses a connection after a request that did not run', 'HTTP/1.1 503 Full\r\negretwing-not-executed: 1\r\ncontent-length: 4\r\n\r\nfull', 1],
		['closes a connection on which data follows the answer', `${completeAnswer('r1')}${completeAnswer('r1')}`, 2],
		['closes a connection that the instance is about to close', completeAnswer('r1', 'ok', 'keep-alive: timeout=1\r\n'), 2],
	];
	for (const [title, first, connections] of reuses) {
		it(title, async () => {
			const instance = await startInstance([first, completeAnswer('r2', 'second')]);
			const upstream = create();
			const target = {
				instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
			};
			await upstream.send(target, request(), 1000).outcome;
			await delay(20);
			const second = await upstream.send(target, request({requestId: 'r2'}), 1000).outcome;
			expect(describeOutcome(second)).to.equal('answered 200 second');
			expect(instance.connections()).to.equal(connections);
			upstream.close();
			instance.close();
		});
	}

	it('does not reuse a connection whose instance answered before it had read the body', async () => {
		const sockets: net.Socket[] = [];
		const server = net.createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.pause();
				socket.write(completeAnswer('r1'));
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, address, resolve);
		});
		const {port} = server.address() as net.AddressInfo;
		const upstream = create();
		const body = Buffer.alloc(longBodyBytes);
		const outcomes: string[] = [];
		for (let count = 0; count < 2; count++) {
			const {outcome} = upstream.send({
				instanceId: 'i', address, port, bornAtMs: 1, service: 's',
			}, request({method: 'POST', body: {chunks: [body], sizeBytes: body.length}}), 1000);
			outcomes.push(describeOutcome(await outcome));
			await delay(20);
		}

		expect([outcomes, sockets.length]).to.deep.equal([['answered 200 ok', 'answered 200 ok'], 2]);
		upstream.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});

	it('closes the connection when an attempt is aborted', async () => {
		const instance = await startInstance([]);
		const upstream = create();
		const attempt = upstream.send({
			instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
		}, request(), 1000);
		await delay(50);
		attempt.abort();
		expect(describeOutcome(await attempt.outcome)).to.equal('aborted sent');
		upstream.close();
		instance.close();
	});

	it('fails the unread rest of an aborted answer even if all of it has been received', async () => {
		const lateBytes = 5000;
		const body = 'x'.repeat(maxBufferedAnswerBytes + 1);
		const answer = completeAnswer('r1', body).replace(String(body.length), String(body.length + lateBytes));
		const sockets: net.Socket[] = [];
		const server = net.createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.once('data', async () => {
				socket.write(answer);
				await delay(50);
				socket.write('x'.repeat(lateBytes));
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, address, resolve);
		});
		const upstream = create();
		const attempt = upstream.send({
			instanceId: 'i', address, port: (server.address() as net.AddressInfo).port, bornAtMs: 1, service: 's',
		}, request(), 1000);
		const outcome = await attempt.outcome;
		const rest = outcome.type === 'answered' ? outcome.answer.rest : undefined;
		const events: string[] = [];
		for (const event of ['data', 'end', 'error']) {
			rest?.once(event, () => {
				events.push(event);
			});
		}

		rest?.pause();
		await delay(100);
		expect(await Promise.race([attempt.released.then(() => 'received'), delay(100, 'not received')])).to.equal('received');
		attempt.abort();
		await delay(20);
		expect(events).to.deep.equal(['error']);
		upstream.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});

	// Guards against answers, each within the limit of one, that together take the memory of the machine.
	it('buffers no more of an answer than there is memory for, and streams the rest', async () => {
		const body = 'x'.repeat(500_000);
		const server = net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.end(completeAnswer('r1', body));
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, address, resolve);
		});
		const upstream = create();
		let leftBytes = 200_000;
		const outcome = await upstream.send({
			instanceId: 'i', address, port: (server.address() as net.AddressInfo).port, bornAtMs: 1, service: 's',
		}, request({
			reserve(sizeBytes) {
				leftBytes -= sizeBytes;
				return leftBytes >= 0;
			},
		}), 1000).outcome;
		const answer = outcome.type === 'answered' ? outcome.answer : undefined;
		const bufferedBytes = Buffer.concat(answer?.chunks ?? []).length;
		expect(bufferedBytes).to.be.below(300_000);
		let sizeBytes = bufferedBytes;
		for await (const chunk of answer?.rest ?? []) {
			sizeBytes += (chunk as Buffer).length;
		}

		expect([sizeBytes, answer?.rest?.readableEnded]).to.deep.equal([body.length, true]);
		upstream.close();
		server.close();
	});

	const refusal = (id?: string): string => `HTTP/1.1 503 Full\r\n${id === undefined ? '' : `egretwing-request-id: ${id}\r\n`}egretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;

	const repeated: ReadonlyArray<{readonly title: string; readonly answers: readonly string[]; readonly ids: readonly string[]; readonly outcomes: readonly string[]}> = [
		{
			title: 'does not attribute an earlier refusal that is repeated without an id to the next request',
			answers: [refusal(), refusal()],
			ids: ['r1', 'r2'],
			outcomes: ['not-executed 503', 'broken'],
		},
		{
			title: 'does not attribute an earlier refusal that is repeated with its id to the next request',
			answers: [refusal('r1'), refusal('r1')],
			ids: ['r1', 'r2'],
			outcomes: ['not-executed 503', 'broken'],
		},
		{
			title: 'does not accept a refusal without an id on a reused connection, even if none came before',
			answers: [completeAnswer('r1'), refusal()],
			ids: ['r1', 'r2'],
			outcomes: ['answered 200 ok', 'broken'],
		},
		{
			title: 'accepts a refusal that names its request on a reused connection',
			answers: [refusal('r1'), refusal('r2')],
			ids: ['r1', 'r2'],
			outcomes: ['not-executed 503', 'not-executed 503'],
		},
	];
	for (const {title, answers, ids, outcomes} of repeated) {
		it(title, async () => {
			const instance = await startInstance(answers);
			const upstream = create();
			const seen: string[] = [];
			for (const requestId of ids) {
				seen.push(describeOutcome(await upstream.send({
					instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
				}, request({requestId}), 1000).outcome));
				await delay(20);
			}

			expect([seen, instance.connections()]).to.deep.equal([outcomes, 1]);
			upstream.close();
			instance.close();
		});
	}

	const resent: ReadonlyArray<readonly [title: string, first: string, requestId: string | undefined]> = [
		['a request that was refused', refusal('r1'), 'r1'],
		['a request that was answered', completeAnswer('r1'), 'r1'],
		// Its answer can't be told from that of another request.
		['a request without an id', refusal(), undefined],
	];
	for (const [title, first, requestId] of resent) {
		it(`sends ${title} to the same instance again on another connection, so that an earlier answer is not mistaken for the new one`, async () => {
			const instance = await startInstance([first, completeAnswer('r1', 'second').replace('egretwing-request-id: r1\r\n', requestId === undefined ? '' : 'egretwing-request-id: r1\r\n')]);
			const upstream = create();
			const target = {
				instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
			};
			await upstream.send(target, request({requestId}), 1000).outcome;
			await delay(20);
			expect(describeOutcome(await upstream.send(target, request({requestId}), 1000).outcome)).to.equal('answered 200 second');
			expect(instance.connections()).to.equal(2);
			upstream.close();
			instance.close();
		});
	}

	it('does not accept an answer to another request for one without an id', async () => {
		const instance = await startInstance([completeAnswer('r0')]);
		const upstream = create();
		expect(describeOutcome(await upstream.send({
			instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
		}, request({requestId: undefined}), 1000).outcome)).to.equal('broken');
		upstream.close();
		instance.close();
	});

	for (const end of ['end', 'reset'] as const) {
		it(`reports an answer as broken wherever in its head the instance ${end === 'end' ? 'closes' : 'resets'} the connection`, async () => {
			const informational = 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n';
			const heads = [completeAnswer('r1'), unboundedAnswer, `${informational}${completeAnswer('r1')}`].map(answer => answer.slice(0, answer.lastIndexOf('\r\n\r\n') + 3));
			const cut = heads.flatMap(head => Array.from(head, (_, index) => head.slice(0, index + 1)));
			const outcomes = await Promise.all(cut.map(async answer => {
				const instance = await startInstance([answer], end);
				const upstream = create();
				const outcome = await upstream.send({
					instanceId: 'i', address, port: instance.port, bornAtMs: 1, service: 's',
				}, request(), 5000).outcome;
				upstream.close();
				instance.close();
				return describeOutcome(outcome);
			}));
			expect(cut.filter((_, index) => outcomes[index] !== 'broken')).to.deep.equal([]);
		});
	}

	const unsolicited: ReadonlyArray<readonly [title: string, bytes: string]> = [
		['bytes that are no HTTP answer', 'x'.repeat(longBodyBytes)],
		['answers to another request', completeAnswer('r1').repeat(1000)],
		['an incomplete answer', completeAnswer('r1').slice(0, -1)],
	];
	for (const [title, bytes] of unsolicited) {
		it(`does not take ${title}, sent on an idle connection just before the next request, for its answer`, async () => {
			const sockets: net.Socket[] = [];
			const server = net.createServer(socket => {
				sockets.push(socket);
				socket.on('error', () => undefined);
				socket.on('data', data => {
					const id = /egretwing-request-id: (\S+)/v.exec(data.toString())?.[1] ?? '';
					socket.write(completeAnswer(id, id));
				});
			});
			await new Promise<void>(resolve => {
				server.listen(0, address, resolve);
			});
			const upstream = create();
			const target = {
				instanceId: 'i', address, port: (server.address() as net.AddressInfo).port, bornAtMs: 1, service: 's',
			};
			const send = (id: string) => upstream.send(target, request({requestId: id, headers: {host: 'a.example', 'egretwing-request-id': id}}), 1000);
			await send('r1').outcome;
			await delay(20);
			sockets[0]!.write(bytes);
			const second = send('r2');
			expect(describeOutcome(await second.outcome)).to.equal('broken');
			await delay(50);
			expect(sockets[0]!.destroyed).to.equal(true);
			expect(describeOutcome(await send('r3').outcome)).to.equal('answered 200 r3');
			upstream.close();
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		});
	}
});
