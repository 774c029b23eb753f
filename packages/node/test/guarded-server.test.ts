import net from 'node:net';
import type http from 'node:http';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {
	createErrorBarrier, createGuardedServer, createLogger, createOperatorServer, listen, sendJson, type GuardedHandler,
} from '@egretwing/node';

const address = '127.0.0.1';

/** Sends bytes and resolves with what comes back until the server closes the connection. */
const exchange = async (port: number, bytes: string): Promise<string> => new Promise(resolve => {
	const socket = net.connect({host: address, port});
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		resolve(text);
	});
	socket.write(bytes, 'latin1');
});

const headOf = (target: string, more = 'connection: close'): string => `GET ${target} HTTP/1.1\r\nhost: x\r\n${more}\r\n\r\n`;

const statusOf = (answer: string): number => Number(/^HTTP\/1\.1 (\d{3})/v.exec(answer)?.[1] ?? 0);

const createRecorder = () => {
	const lines: string[] = [];
	const counts = new Map<string, number>();
	const errors = createErrorBarrier({
		logger: createLogger('t', 'h', 3, line => {
			lines.push(line);
		}),
		nowMs: () => 0,
		unexpectedErrors: {
			inc(labels) {
				const place = String((labels as {readonly place: string}).place);
				counts.set(place, (counts.get(place) ?? 0) + 1);
			},
		},
	});
	return {errors, lines, counts};
};

const withServer = async (server: http.Server, act: (port: number) => Promise<void>): Promise<void> => {
	const port = await listen(server, 0, address);
	try {
		await act(port);
	} finally {
		server.close();
		server.closeAllConnections();
	}
};

describe('guarded HTTP listener', () => {
	const requests: ReadonlyArray<readonly [title: string, bytes: string, statusCode: number]> = [
		['answers a proper request', headOf('/'), 200],
		['refuses a target of two slashes', headOf('//'), 400],
		['refuses a target with an invalid authority', headOf('//['), 400],
		['refuses an absolute target without a host', headOf('http://'), 400],
		['answers a target with an invalid escape', headOf('/%zz?service=%zz'), 200],
		['answers the target of all resources', 'OPTIONS * HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n', 200],
		['answers a request for an upgrade as any other', headOf('/', 'connection: upgrade, close\r\nupgrade: websocket'), 200],
		['closes the connection of a tunnel', 'CONNECT //:x HTTP/1.1\r\nhost: x\r\n\r\n', 0],
		['refuses a body with a length, and reads nothing of it', 'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\nx', 413],
		['refuses a body in chunks, and reads nothing of it', 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n', 413],
		['answers a request that announces an empty body', headOf('/', 'content-length: 0\r\nconnection: close'), 200],
		['refuses bytes that are no request', '\u0000\u0001\u00FF\r\n\r\n', 400],
	];
	for (const [title, bytes, statusCode] of requests) {
		// Guards against a request line that ends the process, since a parser of it throws where nothing catches it.
		it(title, async () => {
			const server = createGuardedServer({
				place: 'test',
				handle(_url, _request, response) {
					sendJson(response, 200, {});
				},
			});
			await withServer(server, async port => {
				expect(statusOf(await exchange(port, bytes))).to.equal(statusCode);
				expect(statusOf(await exchange(port, headOf('/')))).to.equal(200);
			});
		});
	}

	const handlers: ReadonlyArray<readonly [title: string, handle: GuardedHandler, statusCodes: readonly number[]]> = [
		['answers 500 when its handler throws', () => {
			throw new Error('thrown');
		}, [500]],
		['answers 500 when its handler rejects', async () => {
			throw new Error('rejected');
		}, [500]],
		['closes the connection when its handler fails after the head', async (_url, _request, response) => {
			response.writeHead(200, {'content-length': 5}).write('a');
			throw new Error('late');
		}, [0, 200]],
	];
	for (const [title, handle, statusCodes] of handlers) {
		it(title, async () => {
			const {errors, lines, counts} = createRecorder();
			const server = createGuardedServer({place: 'test', errors, handle});
			await withServer(server, async port => {
				expect(statusOf(await exchange(port, headOf('/')))).to.be.oneOf(statusCodes);
				expect(counts.get('test')).to.equal(1);
				expect(lines).to.have.length(1);
				expect(JSON.parse(lines[0]!)).to.include({message: 'unexpected error', place: 'test'});
			});
		});
	}

	// Guards against callers that send many requests ahead: each costs memory from its parsing to its answer.
	it('parses the requests of a connection as the ones before are answered, and answers all in their order', async () => {
		let inProgress = 0;
		let mostInProgress = 0;
		const server = createGuardedServer({
			place: 'test',
			handle(url, _request, response) {
				inProgress++;
				mostInProgress = Math.max(mostInProgress, inProgress);
				setImmediate(() => {
					inProgress--;
					sendJson(response, 200, {path: url.pathname});
				});
			},
		});
		await withServer(server, async port => {
			const count = 500;
			const answer = await exchange(port, Array.from({length: count}, (_, index) => `GET /${index} HTTP/1.1\r\nhost: x\r\n${index === count - 1 ? 'connection: close\r\n' : ''}\r\n`).join(''));
			expect(Array.from(answer.matchAll(/"path":"\/(?<index>\d+)"/gv), ({groups}) => Number(groups!.index))).to.deep.equal(Array.from({length: count}, (_, index) => index));
			expect(mostInProgress).to.be.below(count / 2);
		});
	});

	// Guards against an error of a listener, as for want of descriptors, that ends the process.
	it('goes on after a connection that could not be accepted', async () => {
		const server = createGuardedServer({
			place: 'test',
			handle(_url, _request, response) {
				sendJson(response, 200, {});
			},
		});
		await withServer(server, async port => {
			server.emit('error', new Error('accept ENFILE'));
			expect(statusOf(await exchange(port, headOf('/')))).to.equal(200);
		});
	});

	it('serves the metrics of an operators\' interface after an odd request', async () => {
		const operator = await createOperatorServer({
			address, port: 0, registry: new Registry(), handle: () => undefined,
		});
		expect([
			statusOf(await exchange(operator.port, headOf('//'))), statusOf(await exchange(operator.port, headOf('/metrics'))), statusOf(await exchange(operator.port, headOf('/x'))),
		]).to.deep.equal([400, 200, 404]);
		operator.close();
	});
});

describe('error barrier', () => {
	it('keeps in what an action throws or rejects with, and counts each', async () => {
		const {errors, lines, counts} = createRecorder();
		errors.run('a', () => {
			throw new Error('thrown');
		});
		errors.run('a', async () => {
			throw new Error('rejected');
		});
		errors.run('b', () => undefined);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect([...counts]).to.deep.equal([['a', 2]]);
		expect(lines).to.have.length(1);
	});
});
