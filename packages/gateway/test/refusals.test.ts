import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {CallerLimits, FleetConfig, InstanceEntry} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient,
} from '@egretwing/gateway';
import {Err, Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {configStalenessWindowMs, maxReadHeadBytes} from '../src/constants.ts';
import {encodeMessage} from '../src/mesh-message.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(208)}.1`;
/** Below the ephemeral ports, which the system assigns to connections and to the instances of these tests. */
const firstPort = 21_600;

/** Time within which an answer arrives on loopback. */
const answerMs = 300;

const logLevel = 3;

/** Larger than the limit for callers, since gateways add headers of their own. */
const instanceHeaderBytes = 262_144;

const config: FleetConfig = {
	version: 1,
	routes: [{
		name: 'r', hostName: 'a.example', pathPrefix: '/r/', semantics: 'at-most-once', timeoutMs: 1000, latencyObjectiveMs: 800, maxAttempts: 2, rank: 1, services: [{service: 's', weight: 1}],
	}],
	services: [{name: 's', healthPath: '/', connectionsPerInstance: 10}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
};

const createStore = (port: number, published: () => FleetConfig = () => config): StoreClient => ({
	async readAll(topic) {
		const entry: InstanceEntry = {
			instanceId: 'i',
			revision: 1,
			record: {
				service: 's', address, port, dataCentre: 'a', slots: 2, state: 'ready', warmupLeftMs: 0, bornAtMs: 1,
			},
		};
		return Ok({
			...(topic === 'config' && {config: published()}), entries: topic === 'config' ? [] : [entry], refused: [], asOf: 10,
		});
	},
	async watch(topic) {
		await delay(200);
		return Ok({
			...(topic === 'config' && {config: published()}), entries: [], refused: [], asOf: 10,
		});
	},
	close: () => undefined,
});

const startInstance = async () => {
	const targets: string[] = [];
	const runs: string[] = [];
	const server = http.createServer({maxHeaderSize: instanceHeaderBytes}, (incoming, response) => {
		targets.push(String(incoming.url));
		let body = '';
		incoming.setEncoding('latin1');
		incoming.on('data', (chunk: string) => {
			body += chunk;
		});
		incoming.once('end', () => {
			runs.push(`${incoming.method} ${incoming.url} ${body}`.trimEnd());
			response.writeHead(200, {'egretwing-request-id': 'r1', 'egretwing-signature': 'signed', 'content-length': 2}).end('ok');
		});
	});
	server.maxHeadersCount = 0;
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		targets,
		runs,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const head = (line: string, ...headers: readonly string[]): string =>
	[`${line} HTTP/1.1`, 'egretwing-request-id: r1', ...headers, '', ''].join('\r\n');

/**
 * Opens a connection, writes or calls each of `parts` in turn, then closes the sending side if `halfCloses`; returns the status
 * codes of the answers.
 */
const exchange = async (port: number, parts: ReadonlyArray<string | (() => Promise<void>)>, halfCloses = false): Promise<readonly string[]> => {
	const socket = net.connect({
		host: address, port, allowHalfOpen: true,
	});
	const chunks: Buffer[] = [];
	socket.on('data', chunk => {
		chunks.push(chunk);
	});
	socket.on('error', () => undefined);
	for (const part of parts) {
		if (typeof part === 'function') {
			await part();
			continue;
		}

		socket.write(part, 'latin1');
		await delay(answerMs);
	}

	if (halfCloses) {
		socket.end();
		await delay(answerMs);
	}

	socket.destroy();
	return Buffer.concat(chunks).toString('latin1').match(/(?<=HTTP\/1\.1 )\d+/gv) ?? [];
};

describe('refusals by the gateway', () => {
	const ports = {next: firstPort};
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	let port = 0;
	let gateway: Gateway;
	let instance: Awaited<ReturnType<typeof startInstance>>;

	before(async () => {
		port = ports.next;
		ports.next += 10;
		instance = await startInstance();
		const logger = createLogger('test', 'g', logLevel, line => {
			lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
		});
		gateway = await startGateway(createTestSettings('g', address, port), {store: createStore(instance.port), headerNames: defaultHeaderNames, logger});
		while (!gateway.isReady()) {
			await delay(20);
		}
	});

	after(async () => {
		await gateway.shutdown();
		instance.close();
	});

	const exchangeWithGateway = async (parts: readonly string[], halfCloses = false): Promise<readonly string[]> => exchange(port, parts, halfCloses);

	const readMetrics = async (): Promise<string> => {
		const response = await fetch(`http://${address}:${port + 3}/metrics`);
		return response.text();
	};

	const reported: ReadonlyArray<{
		readonly title: string; readonly request: string; readonly statusCode: string; readonly line: Readonly<Record<string, unknown>>; readonly metric: string;
	}> = [
		{
			title: 'of a request that the parser refuses',
			request: 'GET /r/1 HTTP/1.1\r\nbad header\r\n\r\n',
			statusCode: '400',
			line: {
				message: 'unreadable', code: 'HPE_INVALID_HEADER_TOKEN', kind: 'malformed-request', isServing: false,
			},
			metric: 'egretwing_unreadable_total{code="HPE_INVALID_HEADER_TOKEN",kind="malformed-request",serving="false"} 1',
		},
		{
			title: 'of headers larger than the limit',
			request: head('GET /r/1', 'host: a.example', `x-pad: ${'p'.repeat(17_000)}`),
			statusCode: '431',
			line: {message: 'refused', kind: 'headers-too-large', reason: 'headers'},
			metric: 'egretwing_refusals_total{kind="headers-too-large",reason="headers"} 1',
		},
		{
			title: 'of headers larger than the limit of the parser',
			request: head('GET /r/1', 'host: a.example', `x-pad: ${'p'.repeat(maxReadHeadBytes)}`),
			statusCode: '431',
			line: {
				message: 'unreadable', code: 'HPE_HEADER_OVERFLOW', kind: 'headers-too-large', isServing: false,
			},
			metric: 'egretwing_unreadable_total{code="HPE_HEADER_OVERFLOW",kind="headers-too-large",serving="false"} 1',
		},
		{
			title: 'of a request without a host header',
			request: head('GET http://a.example/r/1'),
			statusCode: '400',
			line: {message: 'refused', kind: 'malformed-request', reason: 'no host'},
			metric: 'egretwing_refusals_total{kind="malformed-request",reason="no host"} 1',
		},
		{
			title: 'of a path without a route',
			request: head('GET /other/secret?q', 'host: B.example:80'),
			statusCode: '404',
			line: {
				message: 'refused', kind: 'no-route', hostName: 'b.example', firstSegment: '/other', configVersion: 1, configSource: 'store',
			},
			metric: 'egretwing_refusals_total{kind="no-route",reason="no route"} 1',
		},
	];
	for (const {title, request, statusCode, line, metric} of reported) {
		it(`are logged with their cause and counted: ${title}`, async () => {
			lines.length = 0;
			expect(await exchangeWithGateway([request])).to.deep.equal([statusCode]);
			const written = lines.find(({message}) => message === line.message) ?? {};
			expect(written).to.include(line);
			expect(await readMetrics()).to.include(metric);
		});
	}

	it('for a missing route are logged with the age of the configuration', async () => {
		lines.length = 0;
		await exchangeWithGateway([head('GET /other/1', 'host: a.example')]);
		expect(lines.find(({message}) => message === 'refused')?.configAgeMs).to.be.above(0);
	});

	const truncated: ReadonlyArray<{
		readonly title: string; readonly parts: readonly string[]; readonly halfCloses: boolean; readonly statusCodes: readonly string[];
	}> = [
		{
			title: 'that closed the connection in the middle of the request line', parts: ['GET /r/'], halfCloses: true, statusCodes: [],
		},
		{
			title: 'that closed the connection in the middle of the headers', parts: ['GET /r/1 HTTP/1.1\r\nhost: a.example\r\n'], halfCloses: true, statusCodes: [],
		},
		{
			title: 'that closed the connection in the middle of a later request', parts: [head('GET /r/1', 'host: a.example'), 'GET /r/2 HTTP/1.1\r\nhost: a'], halfCloses: true, statusCodes: ['200'],
		},
		{
			title: 'that was already refused and closed the connection in the middle of the body',
			parts: [`${head('POST /r/1', 'host: a.example', 'content-length: 2000')}x`],
			halfCloses: true,
			statusCodes: ['413'],
		},
		{
			title: 'that was already refused and omitted the remaining chunks',
			parts: [`${head('POST /other/1', 'host: a.example', 'transfer-encoding: chunked')}1\r\nx\r\n`, head('GET /r/1', 'host: a.example')],
			halfCloses: false,
			statusCodes: ['404'],
		},
	];
	for (const {title, parts, halfCloses, statusCodes} of truncated) {
		it(`are not sent to a caller ${title}`, async () => {
			expect(await exchangeWithGateway(parts, halfCloses)).to.deep.equal(statusCodes);
		});
	}

	it('are sent to a caller whose next request is malformed, after the body of the refused one has been read', async () => {
		const refused = `${head('POST /other/1', 'host: a.example', 'content-length: 2')}`;
		expect(await exchangeWithGateway([refused, 'xx', 'bad\r\n\r\n'])).to.deep.equal(['404', '400']);
	});

	const serveOne = async (request: string): Promise<readonly [statusCodes: readonly string[], targets: readonly string[]]> => {
		instance.targets.length = 0;
		return [await exchangeWithGateway([request]), instance.targets];
	};

	const accepted: ReadonlyArray<readonly [title: string, request: string, target: string]> = [
		['whose target is in absolute form', head('GET http://A.example:80/r/1?q=/x', 'host: a.example'), '/r/1?q=/x'],
		['whose host name ends with a dot', head('GET /r/2', 'host: a.example.'), '/r/2'],
		['with an unknown expectation', `${head('POST /r/3', 'host: a.example', 'expect: x', 'content-length: 1')}x`, '/r/3'],
		['with a host name in capitals and a port', head('GET /r/4', 'host: A.Example:80'), '/r/4'],
		['with headers of the maximum size', head('GET /r/5', 'host: a.example', `x-pad: ${'p'.repeat(16_300)}`), '/r/5'],
		['with an empty path segment', head('GET /r//6', 'host: a.example'), '/r//6'],
	];
	for (const [title, request, target] of accepted) {
		it(`do not affect a request ${title}`, async () => {
			expect(await serveOne(request)).to.deep.equal([['200'], [target]]);
		});
	}

	const get = (target: string, ...headers: readonly string[]): string => head(`GET ${target}`, 'host: a.example', ...headers);
	const post = (...headers: readonly string[]): string => head('POST /r/1', 'host: a.example', ...headers);
	const posted = 'POST /r/1 x';

	const unusual: ReadonlyArray<{
		readonly title: string; readonly requests: string; readonly runs: readonly string[]; readonly statusCodes?: readonly string[];
	}> = [
		{title: 'an encoded slash', requests: get('/r/%2F1'), runs: ['GET /r/%2F1']},
		{title: 'dot segments', requests: get('/r/../1/./'), runs: ['GET /r/../1/./']},
		{title: 'a path equal to the prefix and an empty query', requests: get('/r/?'), runs: ['GET /r/?']},
		{title: 'question marks and slashes in the query', requests: get('/r/1?/x?y=/../'), runs: ['GET /r/1?/x?y=/../']},
		{title: 'special characters in the path', requests: get('/r/!$&\'()*+,;=:@-._~'), runs: ['GET /r/!$&\'()*+,;=:@-._~']},
		{title: 'a target in absolute form and an empty host header', requests: head('GET http://a.example/r/1', 'host:'), runs: ['GET /r/1']},
		{title: 'a target in absolute form and a different host header', requests: head('GET HTTPS://A.EXAMPLE.:443/r/1', 'host: b.example'), runs: ['GET /r/1']},
		{title: 'a host name that ends with a dot and a port', requests: head('GET /r/1', 'host: a.example.:8080'), runs: ['GET /r/1']},
		{title: 'an empty port', requests: head('GET /r/1', 'host: a.example:'), runs: ['GET /r/1']},
		{title: 'whitespace around the host', requests: head('GET /r/1', 'host:   a.example \t '), runs: ['GET /r/1']},
		{title: 'HTTP version 1.0', requests: get('/r/1').replace('HTTP/1.1', 'HTTP/1.0'), runs: ['GET /r/1']},
		{title: 'leading empty lines', requests: `\r\n\r\n${get('/r/1')}`, runs: ['GET /r/1']},
		{title: 'an empty header and a header with non-ASCII bytes', requests: get('/r/1', 'x-empty:', 'x-name: caf\u00E9\u0080'), runs: ['GET /r/1']},
		{title: 'special characters in a header name', requests: get('/r/1', 'x!#$%&\'*+-.^_`|~: 1'), runs: ['GET /r/1']},
		{title: 'headers named like properties of Object.prototype', requests: get('/r/1', '__proto__: 1', 'constructor: 2'), runs: ['GET /r/1']},
		{
			title: 'repeated headers',
			requests: get('/r/1', 'accept: a', 'accept: b', 'cookie: a=1', 'cookie: b=2', 'set-cookie: 1', 'set-cookie: 2', 'user-agent: a', 'user-agent: b'),
			runs: ['GET /r/1'],
		},
		{title: 'an upgrade header', requests: get('/r/1', 'connection: upgrade', 'upgrade: websocket'), runs: ['GET /r/1']},
		{title: 'headers listed in its connection header', requests: get('/r/1', 'connection: keep-alive, x-hop, ,', 'x-hop: 1', 'te: trailers'), runs: ['GET /r/1']},
		{
			title: 'the expectation 100-continue', requests: `${post('expect: 100-continue', 'content-length: 1')}x`, runs: [posted], statusCodes: ['100', '200'],
		},
		{title: 'trailers', requests: `${post('transfer-encoding: chunked', 'trailer: x-sum')}1\r\nx\r\n0\r\nx-sum: 1\r\n\r\n`, runs: [posted]},
		{title: 'chunk extensions', requests: `${post('transfer-encoding: chunked')}1;a=b;c="d e"\r\nx\r\n0;z\r\n\r\n`, runs: [posted]},
		{title: 'chunk sizes in capitals and with leading zeros', requests: `${post('transfer-encoding: CHUNKED')}00A\r\n0123456789\r\n000\r\n\r\n`, runs: ['POST /r/1 0123456789']},
		{title: 'an empty body', requests: post('content-length: 0'), runs: ['POST /r/1']},
		{title: 'the method POST and no body', requests: post(), runs: ['POST /r/1']},
		{title: 'the method GET and a body', requests: `${get('/r/1', 'content-length: 1')}x`, runs: ['GET /r/1 x']},
		...['HEAD', 'OPTIONS', 'PUT', 'DELETE', 'PATCH', 'PROPFIND', 'QUERY'].map(method => ({
			title: `the method ${method}`, requests: head(`${method} /r/1`, 'host: a.example'), runs: [`${method} /r/1`],
		})),
		{
			title: 'other requests pipelined after it',
			requests: `${get('/r/1')}${post('content-length: 1')}x${post('transfer-encoding: chunked')}1\r\nx\r\n0\r\n\r\n${get('/r/2')}`,
			runs: ['GET /r/1', 'GET /r/2', posted, posted],
			statusCodes: ['200', '200', '200', '200'],
		},
		{
			title: 'a refused request with a body pipelined before it',
			requests: `${head('POST /other/1', 'host: a.example', 'content-length: 1')}x${get('/r/1')}`,
			runs: ['GET /r/1'],
			statusCodes: ['404', '200'],
		},
		{
			title: 'a request with a too large body pipelined before it',
			requests: `${post('content-length: 1001')}${'x'.repeat(1001)}${get('/r/1')}`,
			runs: ['GET /r/1'],
			statusCodes: ['413', '200'],
		},
		{
			title: 'a request with a too large chunked body pipelined before it',
			requests: `${post('transfer-encoding: chunked')}3e9\r\n${'x'.repeat(1001)}\r\n0\r\n\r\n${get('/r/1')}`,
			runs: ['GET /r/1'],
			statusCodes: ['413', '200'],
		},
	];
	/** Returns the status codes of the answers and the requests that ran, sorted since requests of one connection may run concurrently. */
	const runAll = async (requests: string): Promise<readonly [statusCodes: readonly string[], runs: readonly string[]]> => {
		instance.runs.length = 0;
		return [await exchangeWithGateway([requests]), instance.runs.toSorted()];
	};

	for (const {title, requests, runs, statusCodes = ['200']} of unusual) {
		it(`do not affect a request with ${title}`, async () => {
			expect(await runAll(requests)).to.deep.equal([statusCodes, runs]);
		});
	}
});

describe('limits of the configuration in force', () => {
	const port = firstPort + 50;
	let published = config;
	let gateway: Gateway;
	let instance: Awaited<ReturnType<typeof startInstance>>;

	before(async () => {
		instance = await startInstance();
		gateway = await startGateway(createTestSettings('g', address, port), {
			store: createStore(instance.port, () => published), headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0),
		});
		while (!gateway.isReady()) {
			await delay(20);
		}
	});

	after(async () => {
		await gateway.shutdown();
		instance.close();
	});

	const versionInForce = async (): Promise<number> => {
		const response = await fetch(`http://${address}:${port + 3}/v1/status`);
		const {digest} = await response.json() as {readonly digest: {readonly configVersion: number}};
		return digest.configVersion;
	};

	const publish = async (changes: Partial<CallerLimits>): Promise<void> => {
		published = {...config, version: published.version + 1, limits: {...config.limits, ...changes}};
		while (await versionInForce() < published.version) {
			await delay(20);
		}
	};

	/** Sends a comparison as a peer with a newer configuration does. */
	const announceNewerVersion = async (): Promise<void> => {
		const socket = dgram.createSocket('udp4');
		const bytes = encodeMessage({hostId: 'peer', address, peerPort: port}, {
			type: 'spread', message: {type: 'compare', digest: {configVersion: published.version + 1, instances: 0, instancesAsOf: 0}},
		});
		await new Promise<void>(resolve => {
			socket.send(bytes, port + 2, address, () => {
				socket.close(resolve);
			});
		});
		await delay(50);
	};

	/** Creates a request whose head, from the request line to the empty line, has the given size. */
	const headOf = (sizeBytes: number): string => {
		const withPad = (length: number): string => head('GET /r/1', 'host: a.example', `x-pad: ${'p'.repeat(length)}`);
		return withPad(sizeBytes - withPad(0).length);
	};

	const chunkedHead = head('POST /r/1', 'host: a.example', 'transfer-encoding: chunked');
	const chunk = (sizeBytes: number): string => `${sizeBytes.toString(16)}\r\n${'b'.repeat(sizeBytes)}\r\n`;
	const lastChunk = '0\r\n\r\n';
	const sized = (sizeBytes: number): string => `${head('POST /r/1', 'host: a.example', `content-length: ${sizeBytes}`)}${'b'.repeat(sizeBytes)}`;
	const manyHeaders = Array.from({length: 2500}, (_, index) => `x${index}:1`);

	/** Waits until a lowered limit applies to all heads: it does not apply to those that were in transit. */
	const waitForHeaderTimeout = async (): Promise<void> => delay(config.limits.headerTimeoutMs);

	const cases: ReadonlyArray<{
		readonly title: string; readonly limits: Partial<CallerLimits>; readonly parts: ReadonlyArray<string | (() => Promise<void>)>; readonly statusCode: string;
	}> = [
		{
			title: 'allow headers as large as a limit above 16 KB', limits: {maxHeaderBytes: 65_536}, parts: [headOf(65_536)], statusCode: '200',
		},
		{
			title: 'allow headers exactly at a limit of 16 KB', limits: {maxHeaderBytes: 16_384}, parts: [headOf(16_384)], statusCode: '200',
		},
		{
			title: 'refuse headers above a limit below 16 KB', limits: {maxHeaderBytes: 4096}, parts: [waitForHeaderTimeout, headOf(4300)], statusCode: '431',
		},
		{
			title: 'allow thousands of short headers',
			limits: {maxHeaderBytes: 65_536},
			parts: [['GET /r/1 HTTP/1.1', ...manyHeaders, 'egretwing-request-id: r1', 'host: a.example', '', ''].join('\r\n')],
			statusCode: '200',
		},
		{
			title: 'allow headers within a limit that is raised while they arrive',
			limits: {maxHeaderBytes: 16_384},
			parts: [headOf(40_000).slice(0, 10_000), async () => publish({maxHeaderBytes: 65_536}), headOf(40_000).slice(10_000)],
			statusCode: '200',
		},
		{
			title: 'allow headers that were in transit when the limit was lowered',
			limits: {maxHeaderBytes: 16_384},
			parts: [headOf(10_000).slice(0, 4000), async () => publish({maxHeaderBytes: 5000}), headOf(10_000).slice(4000)],
			statusCode: '200',
		},
		{
			title: 'allow headers that take nearly as long as the header timeout',
			limits: {headerTimeoutMs: 1000},
			parts: [headOf(200).slice(0, 50), headOf(200).slice(50, 80), headOf(200).slice(80)],
			statusCode: '200',
		},
		{
			title: 'allow a body as long as the limit', limits: {maxBodyBytes: 1000}, parts: [sized(1000)], statusCode: '200',
		},
		{
			title: 'refuse a body above the limit', limits: {maxBodyBytes: 1000}, parts: [sized(1001)], statusCode: '413',
		},
		{
			title: 'allow a body in chunks as long as the limit', limits: {maxBodyBytes: 1000}, parts: [chunkedHead, chunk(400), `${chunk(600)}${lastChunk}`], statusCode: '200',
		},
		{
			title: 'refuse a body in chunks above the limit', limits: {maxBodyBytes: 1000}, parts: [chunkedHead, chunk(400), `${chunk(601)}${lastChunk}`], statusCode: '413',
		},
		{
			title: 'allow a body within a limit that is raised while it arrives',
			limits: {maxBodyBytes: 500},
			parts: [chunkedHead, chunk(400), async () => publish({maxBodyBytes: 1000}), `${chunk(600)}${lastChunk}`],
			statusCode: '200',
		},
		{
			title: 'allow a body above a limit that is lowered while it arrives',
			limits: {maxBodyBytes: 1000},
			parts: [chunkedHead, chunk(100), async () => publish({maxBodyBytes: 500}), `${chunk(900)}${lastChunk}`],
			statusCode: '200',
		},
	];
	for (const {title, limits, parts, statusCode} of cases) {
		it(title, async () => {
			await publish(limits);
			expect(await exchange(port, parts)).to.deep.equal([statusCode]);
		});
	}

	it('allow headers on a reused connection that take longer than the idle timeout', async () => {
		await publish({idleTimeoutMs: 600, headerTimeoutMs: 3000});
		const request = headOf(200);
		expect(await exchange(port, [request, request.slice(0, 50), async () => delay(2200), request.slice(50)])).to.deep.equal(['200', '200']);
	});

	const disallowed: ReadonlyArray<readonly [title: string, request: string, statusCode: string]> = [
		['a path without a route', head('GET /new/1', 'host: a.example'), '404'],
		['headers above the limit', headOf(20_000), '431'],
		['a body above the limit', sized(1001), '413'],
	];
	for (const [title, request, statusCode] of disallowed) {
		it(`do not refuse ${title} for good while a peer holds a newer configuration`, async () => {
			await publish({});
			await waitForHeaderTimeout();
			const before = await exchange(port, [request]);
			await announceNewerVersion();
			const meanwhile = await exchange(port, [request]);
			await publish({});
			expect([before, meanwhile, await exchange(port, [request])]).to.deep.equal([[statusCode], ['503'], [statusCode]]);
		});
	}

	it('allow the reuse of a connection that has been idle for four fifths of the idle timeout', async () => {
		await publish({idleTimeoutMs: 1000});
		const request = headOf(200);
		expect(await exchange(port, [request, async () => delay(800 - answerMs), request])).to.deep.equal(['200', '200']);
	});
});

describe('gateway that has just started beside one with an old configuration', () => {
	const port = firstPort + 100;
	const addresses = [`${networkOf(208)}.2`, `${networkOf(208)}.3`] as const;
	const running: Gateway[] = [];

	const start = async (host: string, seedAddresses: readonly string[], store: StoreClient): Promise<Gateway> => {
		const gateway = await startGateway(createTestSettings(`g-${host}`, host, port, {seedAddresses: [...seedAddresses]}), {
			store, headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0),
		});
		running.push(gateway);
		while (!gateway.isReady()) {
			await delay(20);
		}

		return gateway;
	};

	const get = async (host: string, path: string): Promise<number> => new Promise((resolve, reject) => {
		http.get({
			host, port, path, agent: false, headers: {host: 'a.example', 'egretwing-request-id': 'r1'},
		}, response => {
			response.resume();
			resolve(response.statusCode!);
		}).once('error', reject);
	});

	after(async () => {
		await Promise.all(running.map(async gateway => gateway.shutdown()));
	});

	it('asks callers to retry requests without a route until the configuration has been in force long enough', async () => {
		const cutOff: StoreClient = {...createStore(1), watch: async () => Err('unreachable')};
		await start(addresses[0], [], cutOff);
		await start(addresses[1], [addresses[0]], {
			...createStore(1),
			readAll: async () => Err('unreachable'),
			watch: async () => Err('unreachable'),
		});
		expect(await get(addresses[1], '/new/1')).to.equal(503);
		await delay(configStalenessWindowMs);
		expect(await get(addresses[1], '/new/1')).to.equal(404);
	});
});
