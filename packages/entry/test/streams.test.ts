import http from 'node:http';
import net from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {listen} from '@egretwing/node';
import {until} from './support/caller.ts';
import {instanceAt, startHarness, type Harness} from './support/harness.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'scorevault', revision: 1, requestTimeoutMs: 20_000,
};
const route = {
	kind: 'route', schemaVersion: 2, name: 'recordings', revision: 1, pathPrefix: '/recordings', service: 'scorevault', semantics: 'idempotent',
};

const bytesPerMebibyte = 1_048_576;
const totalBytes = 64 * bytesPerMebibyte;
const pieceBytes = 65_536;
/** What sockets and streams between the two ends may hold; the whole would be twice as much. */
const maxHeldBytes = totalBytes / 2;

const untilDrained = async (stream: http.ClientRequest | http.ServerResponse): Promise<void> => new Promise(resolve => {
	const onDrained = (): void => {
		stream.off('drain', onDrained);
		stream.off('close', onDrained);
		resolve();
	};

	stream.on('drain', onDrained);
	stream.on('close', onDrained);
});

/** Writes `totalBytes` with back pressure and reports the bytes taken so far. */
const writeAll = async (stream: http.ClientRequest | http.ServerResponse, onTaken: (bytes: number) => void): Promise<void> => {
	const piece = new Uint8Array(pieceBytes);
	for (let sentBytes = 0; sentBytes < totalBytes; sentBytes += pieceBytes) {
		if (stream.destroyed) {
			return;
		}

		if (!stream.write(piece)) {
			await untilDrained(stream);
		}

		onTaken(sentBytes);
	}

	stream.end();
};

/** Reads nothing until `startReading` is called, then counts to the end. */
const countSlowly = (stream: http.IncomingMessage): {readonly startReading: () => void; readonly bytes: () => number; readonly isWhole: () => boolean} => {
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

	it('pass 64 MB up with back pressure from the backend server to the caller', async () => {
		let received: ReturnType<typeof countSlowly> | undefined;
		const backend = await startBackend((request, response) => {
			received = countSlowly(request);
			request.on('end', () => {
				response.end('whole');
			});
		});
		const harness = await startEntry(backend);
		const residentBytes = process.memoryUsage().rss;
		let takenBytes = 0;
		const upload = http.request(`${harness.url}/recordings/1`, {method: 'PUT', headers: {'content-length': totalBytes}});
		const answered = new Promise<http.IncomingMessage>((resolve, reject) => {
			upload.on('response', resolve);
			upload.on('error', reject);
		});
		const written = writeAll(upload, bytes => {
			takenBytes = bytes;
		});
		await until(() => received !== undefined);
		await delay(1000);
		expect(takenBytes).to.be.below(maxHeldBytes);
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

	it('pass 64 MB down with back pressure from the caller to the backend server', async () => {
		let takenBytes = 0;
		const backend = await startBackend((_request, response) => {
			response.writeHead(200, {'content-length': totalBytes});
			void writeAll(response, bytes => {
				takenBytes = bytes;
			});
		});
		const harness = await startEntry(backend);
		const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
			http.get(`${harness.url}/recordings/1`, resolve).on('error', reject);
		});
		const received = countSlowly(response);
		await delay(1000);
		expect(takenBytes).to.be.below(maxHeldBytes);
		received.startReading();
		await until(received.isWhole, 30_000);
		expect(received.bytes()).to.equal(totalBytes);
		backend.close();
		await harness.close();
	});

	it('are broken off when the caller takes nothing of its answer for too long', async () => {
		let isClosed = false;
		const backend = await startBackend((_request, response) => {
			response.on('close', () => {
				isClosed = !response.writableFinished;
			});
			void writeAll(response, () => undefined);
		});
		const harness = await startEntry(backend, {bodyIdleTimeoutMs: 500}, {requestTimeoutMs: 500});
		const socket = net.connect(harness.entry.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write('GET /recordings/1 HTTP/1.1\r\nhost: entry\r\n\r\n');
		socket.pause();
		await until(() => isClosed, 20_000);
		socket.destroy();
		backend.close();
		await harness.close();
	});

	it('cancel the upload at the backend server when the caller goes away in the middle', async () => {
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
		upload.write(new Uint8Array(pieceBytes));
		await delay(200);
		upload.destroy();
		await until(() => isAborted);
		backend.close();
		await harness.close();
	});
});
