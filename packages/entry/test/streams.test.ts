import http from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {listen} from '@egretwing/node';
import {waitUntil} from './support/caller.ts';
import {instanceAt, startHarness, type Harness} from './support/harness.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'scorevault', revision: 1, requestTimeoutMs: 20_000,
};
const route = {
	kind: 'route', schemaVersion: 2, name: 'recordings', revision: 1, pathPrefix: '/recordings', service: 'scorevault', semantics: 'idempotent',
};

const bytesPerMebibyte = 1_048_576;
const totalBytes = 64 * bytesPerMebibyte;
const chunkBytes = 65_536;
/** Maximum number of bytes buffered in sockets and streams between caller and backend server; half of the transfer. */
const maxBufferedBytes = totalBytes / 2;

const waitForDrain = async (stream: http.ClientRequest | http.ServerResponse): Promise<void> => new Promise(resolve => {
	const onDrained = (): void => {
		stream.off('drain', onDrained);
		stream.off('close', onDrained);
		resolve();
	};

	stream.on('drain', onDrained);
	stream.on('close', onDrained);
});

/** Writes `totalBytes` with back pressure and reports the bytes written so far. */
const writeWithBackPressure = async (stream: http.ClientRequest | http.ServerResponse, onWritten: (bytes: number) => void): Promise<void> => {
	const chunk = new Uint8Array(chunkBytes);
	for (let sentBytes = 0; sentBytes < totalBytes; sentBytes += chunkBytes) {
		if (stream.destroyed) {
			return;
		}

		if (!stream.write(chunk)) {
			await waitForDrain(stream);
		}

		onWritten(sentBytes);
	}

	stream.end();
};

/** Reads nothing until `startReading` is called, then counts the bytes up to the end. */
const createPausedReader = (stream: http.IncomingMessage): {readonly startReading: () => void; readonly bytes: () => number; readonly isWhole: () => boolean} => {
	let bytes = 0;
	let isWhole = false;
	stream.pause();
	return {
		startReading() {
			stream.on('data', (chunk: Uint8Array) => {
				bytes += chunk.length;
			});
			stream.on('end', () => {
				isWhole = stream.complete;
			});
			stream.resume();
		},
		bytes: () => bytes,
		isWhole: () => isWhole,
	};
};

type Backend = {
	readonly port: number;
	readonly close: () => void;
};

const startBackend = async (listener: http.RequestListener): Promise<Backend> => {
	const server = http.createServer(listener);
	const port = await listen(server, 0, '127.0.0.1');
	return {
		port,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const startEntry = async (backend: Backend, settings = {}, record = {}): Promise<Harness> => startHarness({
	records: [{...service, ...record}, route], instances: [instanceAt('b1', 'scorevault', backend.port)], settings,
});

describe('streams', function () {
	this.timeout(60_000);

	it('transfer an upload of 64 MB with back pressure from the backend server to the caller', async () => {
		let received: ReturnType<typeof createPausedReader> | undefined;
		const backend = await startBackend((request, response) => {
			received = createPausedReader(request);
			request.on('end', () => {
				response.end('whole');
			});
		});
		const harness = await startEntry(backend);
		const residentBytes = process.memoryUsage().rss;
		let writtenBytes = 0;
		const upload = http.request(`${harness.url}/recordings/1`, {method: 'PUT', headers: {'content-length': totalBytes}});
		const answered = new Promise<http.IncomingMessage>((resolve, reject) => {
			upload.on('response', resolve);
			upload.on('error', reject);
		});
		const written = writeWithBackPressure(upload, bytes => {
			writtenBytes = bytes;
		});
		await waitUntil(() => received !== undefined);
		await delay(1000);
		expect(writtenBytes).to.be.below(maxBufferedBytes);
		expect(process.memoryUsage().rss - residentBytes).to.be.below(totalBytes);
		received?.startReading();
		await written;
		const response = await answered;
		response.resume();
		expect(response.statusCode).to.equal(200);
		expect(received?.bytes()).to.equal(totalBytes);
		expect(received?.isWhole()).to.equal(true);
		backend.close();
		await harness.close();
	});

	it('transfer a download of 64 MB with back pressure from the caller to the backend server', async () => {
		let writtenBytes = 0;
		const backend = await startBackend((_request, response) => {
			response.writeHead(200, {'content-length': totalBytes});
			void writeWithBackPressure(response, bytes => {
				writtenBytes = bytes;
			});
		});
		const harness = await startEntry(backend);
		const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
			http.get(`${harness.url}/recordings/1`, resolve).on('error', reject);
		});
		const received = createPausedReader(response);
		await delay(1000);
		expect(writtenBytes).to.be.below(maxBufferedBytes);
		received.startReading();
		await waitUntil(received.isWhole, 30_000);
		expect(received.bytes()).to.equal(totalBytes);
		backend.close();
		await harness.close();
	});

	it('are closed if the caller reads nothing of its response for too long', async () => {
		let isClosed = false;
		const backend = await startBackend((_request, response) => {
			response.on('close', () => {
				isClosed = !response.writableFinished;
			});
			void writeWithBackPressure(response, () => undefined);
		});
		const harness = await startEntry(backend, {bodyIdleTimeoutMs: 500}, {requestTimeoutMs: 500});
		const socket = net.connect(harness.entry.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write('GET /recordings/1 HTTP/1.1\r\nhost: entry\r\n\r\n');
		socket.pause();
		await waitUntil(() => isClosed, 20_000);
		socket.destroy();
		backend.close();
		await harness.close();
	});

	it('abort the upload to the backend server if the caller disconnects during it', async () => {
		let isAborted = false;
		const backend = await startBackend(request => {
			request.resume();
			request.on('error', () => undefined);
			request.on('close', () => {
				isAborted = !request.complete;
			});
		});
		const harness = await startEntry(backend);
		const upload = http.request(`${harness.url}/recordings/1`, {method: 'PUT', headers: {'content-length': totalBytes}});
		upload.on('error', () => undefined);
		upload.write(new Uint8Array(chunkBytes));
		await delay(200);
		upload.destroy();
		await waitUntil(() => isAborted);
		backend.close();
		await harness.close();
	});
});
