import {expect} from 'chai';
import {call, sendRaw, waitUntil} from './support/caller.ts';
import {startHarness, type Harness} from './support/harness.ts';
import {startRawBackend, type RawBackend} from './support/raw-backend.ts';

const records = [
	{
		kind: 'service', schemaVersion: 2, name: 'ledger-drop', revision: 1,
	},
	{
		kind: 'route', schemaVersion: 2, name: 'uploads', revision: 1, pathPrefix: '/', service: 'ledger-drop', semantics: 'at-most-once', maxBodyBytes: 64,
	},
];

const settings = {headersTimeoutMs: 300, bodyIdleTimeoutMs: 300, maxHeaderBytes: 2048};
const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

describe('input from a caller', () => {
	let backend: RawBackend;
	let harness: Harness;

	before(async () => {
		backend = await startRawBackend('b1', 'ledger-drop', socket => {
			socket.write(answer);
		});
		harness = await startHarness({records, instances: [backend.instance], settings});
	});

	after(async () => {
		backend.close();
		await harness.close();
	});

	const expectRefused = async (bytes: string): Promise<void> => {
		const before = backend.requests.length;
		const {text, isClosed} = await sendRaw(harness.entry.port, bytes);
		expect(text).to.match(/^HTTP\/1\.1 4\d\d /v);
		expect(isClosed).to.equal(true);
		expect(text).to.include('"ran":"not-run"');
		expect(backend.requests).to.have.length(before);
	};

	const expectNotForwarded = async (bytes: string): Promise<void> => {
		const before = backend.requests.length;
		const {isClosed} = await sendRaw(harness.entry.port, bytes);
		expect(isClosed).to.equal(true);
		expect(backend.requests).to.have.length(before);
		await waitUntil(() => backend.openedConnections() === backend.closedConnections());
	};

	const head = 'POST /photos HTTP/1.1\r\nhost: entry\r\n';
	const ambiguous: ReadonlyArray<{readonly title: string; readonly bytes: string}> = [
		{title: 'two lengths that differ', bytes: `${head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`},
		{title: 'two lengths that agree', bytes: `${head}content-length: 3\r\ncontent-length: 3\r\n\r\nabc`},
		{title: 'two lengths in one header', bytes: `${head}content-length: 3, 3\r\n\r\nabc`},
		{title: 'a length and a transfer coding', bytes: `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`},
		{title: 'a transfer coding and a length', bytes: `${head}transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n`},
		{title: 'a length below zero', bytes: `${head}content-length: -3\r\n\r\nabc`},
		{title: 'a length with a sign', bytes: `${head}content-length: +3\r\n\r\nabc`},
		{title: 'a length in hexadecimal', bytes: `${head}content-length: 0x3\r\n\r\nabc`},
		{title: 'a last transfer coding that is not chunked', bytes: `${head}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n`},
		{title: 'an unknown transfer coding', bytes: `${head}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n`},
		{title: 'a blank before the colon', bytes: `${head}content-length : 3\r\n\r\nabc`},
		{title: 'a folded header', bytes: `${head}x-a: 1\r\n content-length: 3\r\n\r\nabc`},
		{title: 'a header ended by a bare line feed', bytes: `${head}x-a: 1\ncontent-length: 3\r\n\r\nabc`},
		{title: 'a bare carriage return in a header', bytes: `${head}x-a: 1\rcontent-length: 3\r\n\r\nabc`},
		{title: 'a zero byte in a header', bytes: `${head}x-a: \0\r\n\r\n`},
		{title: 'no host', bytes: 'POST /photos HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc'},
		{title: 'two hosts', bytes: `${head}host: other\r\ncontent-length: 3\r\n\r\nabc`},
		{title: 'bytes that are not HTTP', bytes: 'hello there\r\n\r\n'},
		{title: 'headers over the limit', bytes: `${head}x-a: ${'a'.repeat(4096)}\r\n\r\n`},
		{title: 'headers that do not end in time', bytes: `${head}x-a: 1\r\n`},
	];
	for (const {title, bytes} of ambiguous) {
		it(`is refused as not run and its connection closed: ${title}`, async () => {
			await expectRefused(bytes);
		});
	}

	const broken: ReadonlyArray<{readonly title: string; readonly bytes: string}> = [
		{title: 'a chunk size that is not a number', bytes: 'zz\r\nabc\r\n0\r\n\r\n'},
		{title: 'a chunk longer than its size', bytes: '2\r\nabcd\r\n0\r\n\r\n'},
		{title: 'a chunk size ended by a bare line feed', bytes: '3\nabc\r\n0\r\n\r\n'},
		{title: 'a chunk that never arrives', bytes: '3\r\na'},
	];
	for (const {title, bytes} of broken) {
		it(`never reaches a backend server as a complete request: ${title}`, async () => {
			await expectNotForwarded(`${head}transfer-encoding: chunked\r\n\r\n${bytes}`);
		});
	}

	it('with two pipelined requests is served as two requests', async () => {
		const before = backend.requests.length;
		const {text} = await sendRaw(harness.entry.port, `${head}content-length: 0\r\n\r\n${head}connection: close\r\n\r\n`);
		expect(text.match(/200 OK/gv)).to.have.length(2);
		expect(backend.requests).to.have.length(before + 2);
	});

	it('is forwarded without hop-by-hop and internal headers', async () => {
		await sendRaw(harness.entry.port, `${head}connection: x-secret, close\r\nx-secret: 1\r\nte: trailers\r\negretwing-forward: x\r\n\r\n`);
		const passed = backend.requests.at(-1)?.head ?? '';
		expect(passed).to.not.match(/x-secret|^te:|egretwing-forward/imv);
	});

	it('is refused once a body of unknown length exceeds the limit of the route, and never reaches a backend server completely', async () => {
		const before = backend.requests.length;
		const body = new ReadableStream<Uint8Array>({
			start(controller) {
				controller.enqueue(new Uint8Array(65));
				controller.close();
			},
		});
		const exchange = await call(`${harness.url}/photos`, {method: 'POST', body, duplex: 'half'});
		expect(exchange).to.include({statusCode: 413, kind: 'request-too-large', ran: 'unknown'});
		expect(backend.requests).to.have.length(before);
	});

	it('is refused after the idle timeout if the caller stops in the middle of the body', async () => {
		const before = backend.requests.length;
		const {text, isClosed} = await sendRaw(harness.entry.port, `${head}content-length: 60\r\n\r\nhalf`, 20_000);
		expect(text).to.include('"kind":"body-incomplete"').and.to.include('"ran":"unknown"');
		expect(isClosed).to.equal(true);
		expect(backend.requests).to.have.length(before);
	}).timeout(25_000);
});
