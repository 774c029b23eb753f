import net from 'node:net';
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {defaultHeaderNames} from '@egretwing/gateway';
import {heldAnswerBytes} from '../src/constants.ts';
import {createUpstream, type UpstreamOutcome, type UpstreamRequest} from '../src/upstream.ts';

const address = '127.0.0.1';
/** More than the buffers of a loopback connection hold. */
const longBodyBytes = 16_000_000;

/** Ends with its connection. */
const unboundedAnswer = 'HTTP/1.1 200 OK\r\negretwing-request-id: r1\r\negretwing-signature: s\r\nconnection: close\r\n\r\npart';

/** Starts an instance that answers each request with the next of `answers`; '' resets the connection. */
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
	requestId: 'r1', method: 'GET', target: '/a', headers: {host: 'a.example'}, body: null, isIdempotent: true, ...changes,
});

const whole = (id: string, body = 'ok', extra = ''): string =>
	`HTTP/1.1 200 OK\r\negretwing-request-id: ${id}\r\negretwing-signature: s\r\ncontent-length: ${body.length}\r\n${extra}\r\n${body}`;

const describeOutcome = (outcome: UpstreamOutcome): string => {
	switch (outcome.type) {
		case 'answered': {
			return `answered ${outcome.answer.statusCode} ${outcome.answer.body.toString()}${outcome.answer.isBounded ? '' : ' unbounded'}`;
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
	const create = () => createUpstream({
		nowMs: () => performance.now(), localAddress: address, headerNames: defaultHeaderNames, onConnect: () => undefined,
	});

	const cases: ReadonlyArray<{readonly title: string; readonly answer: string; readonly end?: 'end' | 'reset'; readonly outcome: string}> = [
		{title: 'passes a whole answer', answer: whole('r1'), outcome: 'answered 200 ok'},
		{title: 'refuses an answer to another request', answer: whole('r0'), outcome: 'broken'},
		{title: 'refuses a success without signature', answer: 'HTTP/1.1 200 OK\r\negretwing-request-id: r1\r\ncontent-length: 2\r\n\r\nok', outcome: 'broken'},
		{title: 'passes an answer with large headers', answer: whole('r1', 'ok', `x-pad: ${'p'.repeat(60_000)}\r\n`), outcome: 'answered 200 ok'},
		{
			title: 'passes an answer with thousands of headers', answer: whole('r1').replace('\r\n', `\r\n${'x:1\r\n'.repeat(2500)}`), outcome: 'answered 200 ok',
		},
		{
			title: 'refuses an answer that is cut short', answer: whole('r1').replace('content-length: 2', 'content-length: 9'), end: 'end', outcome: 'broken',
		},
		{title: 'refuses bytes that are no answer', answer: 'garbage\r\n\r\n', outcome: 'broken'},
		{title: 'reports a reset after sending as broken', answer: '', outcome: 'broken'},
		{
			title: 'marks an answer without a length', answer: unboundedAnswer, end: 'end', outcome: 'answered 200 part unbounded',
		},
		{
			title: 'refuses an answer without a length that a reset ends', answer: unboundedAnswer, end: 'reset', outcome: 'broken',
		},
		{
			title: 'passes a whole answer that a reset follows', answer: whole('r1'), end: 'reset', outcome: 'answered 200 ok',
		},
		{title: 'passes an error answer of the instance', answer: 'HTTP/1.1 500 No\r\negretwing-request-id: r1\r\ncontent-length: 0\r\n\r\n', outcome: 'answered 500 '},
		...[304, 400, 404, 408, 413, 429, 503].map(statusCode => ({
			title: `refuses an answer ${statusCode} without signature`, answer: `HTTP/1.1 ${statusCode} No\r\negretwing-request-id: r1\r\ncontent-length: 0\r\n\r\n`, outcome: 'broken',
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
		{title: 'passes an error answer without signature that promises nothing', answer: 'HTTP/1.1 502 No\r\negretwing-request-id: r1\r\ncontent-length: 0\r\n\r\n', outcome: 'answered 502 '},
		{
			title: 'does not believe that a request did not run by the answer to another',
			answer: 'HTTP/1.1 503 Full\r\negretwing-request-id: r0\r\negretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
			outcome: 'broken',
		},
		{
			title: 'does not believe that another instance has the address by the answer to another request',
			answer: 'HTTP/1.1 421 No\r\negretwing-request-id: r0\r\ncontent-length: 0\r\n\r\n',
			outcome: 'broken',
		},
		{
			title: 'tells a request that did not run, by its id',
			answer: 'HTTP/1.1 503 Full\r\negretwing-request-id: r1\r\negretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
			outcome: 'not-executed 503',
		},
		{title: 'tells a request that did not run', answer: 'HTTP/1.1 503 Full\r\negretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n', outcome: 'not-executed 503'},
		{title: 'tells that another instance has the address', answer: 'HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n', outcome: 'not-executed 421'},
	];
	for (const {title, answer, end, outcome} of cases) {
		it(title, async () => {
			const instance = await startInstance([answer], end);
			const upstream = create();
			const attempt = upstream.send({instanceId: 'i', address, port: instance.port}, request(), 1000);
			expect(describeOutcome(await attempt.outcome)).to.equal(outcome);
			upstream.close();
			instance.close();
		});
	}

	it('opens a connection for what may run once, after two idle connections were reset, and does not blame the instance for a third', async () => {
		const instance = await startInstance([whole('r1'), '', whole('r3'), '', whole('r5'), '', whole('r7'), whole('r8')]);
		const upstream = create();
		const send = async (isIdempotent: boolean, requestId: string): Promise<UpstreamOutcome> => {
			const {outcome} = upstream.send({instanceId: 'i', address, port: instance.port}, request({isIdempotent, requestId}), 1000);
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
		expect(describeOutcome(await upstream.send({instanceId: 'i', address, port: instance.port}, request(), 1000).outcome)).to.equal('unreachable');
		upstream.close();
	});

	it('tells the instance who is meant and how much time is left', async () => {
		const instance = await startInstance([whole('r1')]);
		const upstream = create();
		await upstream.send({instanceId: 'i-7', address, port: instance.port}, request({method: 'POST', body: Buffer.from('body')}), 812.6).outcome;
		expect(instance.seen[0]).to.match(/egretwing-target-instance: i-7\r\n/v).and.match(/egretwing-deadline-ms: 812\r\n/v).and.match(/content-length: 4\r\n/v);
		upstream.close();
		instance.close();
	});

	const reuses: ReadonlyArray<readonly [title: string, first: string, connections: number]> = [
		['keeps a connection after a whole answer', whole('r1'), 1],
		['keeps a connection after a request that did not run', 'HTTP/1.1 503 Full\r\negretwing-not-executed: 1\r\ncontent-length: 4\r\n\r\nfull', 1],
		['closes a connection on which more came than the answer', `${whole('r1')}${whole('r1')}`, 2],
		['closes a connection that the instance is about to close', whole('r1', 'ok', 'keep-alive: timeout=1\r\n'), 2],
	];
	for (const [title, first, connections] of reuses) {
		it(title, async () => {
			const instance = await startInstance([first, whole('r2', 'second')]);
			const upstream = create();
			const target = {instanceId: 'i', address, port: instance.port};
			await upstream.send(target, request(), 1000).outcome;
			await delay(20);
			const second = await upstream.send(target, request({requestId: 'r2'}), 1000).outcome;
			expect(describeOutcome(second)).to.equal('answered 200 second');
			expect(instance.connections()).to.equal(connections);
			upstream.close();
			instance.close();
		});
	}

	it('sends nothing else on a connection whose instance answered before it had read the body', async () => {
		const sockets: net.Socket[] = [];
		const server = net.createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.pause();
				socket.write(whole('r1'));
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
			const {outcome} = upstream.send({instanceId: 'i', address, port}, request({method: 'POST', body}), 1000);
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

	it('closes the connection when an attempt is given up', async () => {
		const instance = await startInstance([]);
		const upstream = create();
		const attempt = upstream.send({instanceId: 'i', address, port: instance.port}, request(), 1000);
		await delay(50);
		attempt.abort();
		expect(describeOutcome(await attempt.outcome)).to.equal('aborted sent');
		upstream.close();
		instance.close();
	});

	it('does not end the rest of a given up answer as if it had been read, although all of it has come', async () => {
		const lateBytes = 5000;
		const body = 'x'.repeat(heldAnswerBytes + 1);
		const answer = whole('r1', body).replace(String(body.length), String(body.length + lateBytes));
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
		const attempt = upstream.send({instanceId: 'i', address, port: (server.address() as net.AddressInfo).port}, request(), 1000);
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
		expect(rest?.complete).to.equal(true);
		attempt.abort();
		await attempt.released;
		await delay(20);
		expect(events).to.deep.equal(['error']);
		upstream.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});

	const refusal = (id?: string): string => `HTTP/1.1 503 Full\r\n${id === undefined ? '' : `egretwing-request-id: ${id}\r\n`}egretwing-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;

	const repeated: ReadonlyArray<{readonly title: string; readonly answers: readonly string[]; readonly ids: readonly string[]; readonly outcomes: readonly string[]}> = [
		{
			title: 'does not take an earlier refusal, written again without an id, for that of the next request',
			answers: [refusal(), refusal()],
			ids: ['r1', 'r2'],
			outcomes: ['not-executed 503', 'broken'],
		},
		{
			title: 'does not take an earlier refusal, written again by name, for that of the next request',
			answers: [refusal('r1'), refusal('r1')],
			ids: ['r1', 'r2'],
			outcomes: ['not-executed 503', 'broken'],
		},
		{
			title: 'does not take a refusal without an id on a kept connection for that of the request, though none came before',
			answers: [whole('r1'), refusal()],
			ids: ['r1', 'r2'],
			outcomes: ['answered 200 ok', 'broken'],
		},
		{
			title: 'believes a refusal that names its request on a kept connection',
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
				seen.push(describeOutcome(await upstream.send({instanceId: 'i', address, port: instance.port}, request({requestId}), 1000).outcome));
				await delay(20);
			}

			expect([seen, instance.connections()]).to.deep.equal([outcomes, 1]);
			upstream.close();
			instance.close();
		});
	}

	const resent: ReadonlyArray<readonly [title: string, first: string, requestId: string | undefined]> = [
		['a request that was refused', refusal('r1'), 'r1'],
		['a request that was answered', whole('r1'), 'r1'],
		// Nothing tells its answer from that of another.
		['a request without an id', refusal(), undefined],
	];
	for (const [title, first, requestId] of resent) {
		it(`sends ${title} again to its instance on another connection, so that no earlier answer can be taken for the new one`, async () => {
			const instance = await startInstance([first, whole('r1', 'second').replace('egretwing-request-id: r1\r\n', requestId === undefined ? '' : 'egretwing-request-id: r1\r\n')]);
			const upstream = create();
			const target = {instanceId: 'i', address, port: instance.port};
			await upstream.send(target, request({requestId}), 1000).outcome;
			await delay(20);
			expect(describeOutcome(await upstream.send(target, request({requestId}), 1000).outcome)).to.equal('answered 200 second');
			expect(instance.connections()).to.equal(2);
			upstream.close();
			instance.close();
		});
	}

	it('does not give a request without an id the answer to another', async () => {
		const instance = await startInstance([whole('r0')]);
		const upstream = create();
		expect(describeOutcome(await upstream.send({instanceId: 'i', address, port: instance.port}, request({requestId: undefined}), 1000).outcome)).to.equal('broken');
		upstream.close();
		instance.close();
	});

	for (const end of ['end', 'reset'] as const) {
		it(`takes an answer for broken wherever in its head the instance ${end === 'end' ? 'closes' : 'resets'} the connection`, async () => {
			const informational = 'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n';
			const heads = [whole('r1'), unboundedAnswer, `${informational}${whole('r1')}`].map(answer => answer.slice(0, answer.lastIndexOf('\r\n\r\n') + 3));
			const cut = heads.flatMap(head => Array.from(head, (_, index) => head.slice(0, index + 1)));
			const outcomes = await Promise.all(cut.map(async answer => {
				const instance = await startInstance([answer], end);
				const upstream = create();
				const outcome = await upstream.send({instanceId: 'i', address, port: instance.port}, request(), 5000).outcome;
				upstream.close();
				instance.close();
				return describeOutcome(outcome);
			}));
			expect(cut.filter((_, index) => outcomes[index] !== 'broken')).to.deep.equal([]);
		});
	}

	const unasked: ReadonlyArray<readonly [title: string, bytes: string]> = [
		['bytes that are no answer', 'x'.repeat(longBodyBytes)],
		['answers to another request', whole('r1').repeat(1000)],
		['half of one', whole('r1').slice(0, -1)],
	];
	for (const [title, bytes] of unasked) {
		it(`takes ${title}, sent on an idle connection just before the next request, for no answer to it`, async () => {
			const sockets: net.Socket[] = [];
			const server = net.createServer(socket => {
				sockets.push(socket);
				socket.on('error', () => undefined);
				socket.on('data', data => {
					const id = /egretwing-request-id: (\S+)/v.exec(data.toString())?.[1] ?? '';
					socket.write(whole(id, id));
				});
			});
			await new Promise<void>(resolve => {
				server.listen(0, address, resolve);
			});
			const upstream = create();
			const target = {instanceId: 'i', address, port: (server.address() as net.AddressInfo).port};
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
