import {performance} from 'node:perf_hooks';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {networkOf} from '../support/network.ts';
import {
	buildGateway, gatewayPorts, operatorPort, startGateways, type SoakGateways,
} from './soak/gateways.ts';
import {createSoakStore, type SoakStore} from './soak/store.ts';
import {holdPort, type PortKind} from './support/held-port.ts';
import {oddRequests, sendBytes} from './support/odd-requests.ts';
import {handlerDelayMs, idleProgram, median} from './support/signal-handlers.ts';

const network = networkOf(215);
const storeAddress = `${network}.100`;
const address = `${network}.1`;

const readyWithinMs = 4000;
/** Memory of a machine, above which the platform kills a process. */
const memoryMegabytes = 350;

const configure = (store: SoakStore): void => {
	store.put('op/config', {
		version: '00000001',
		routes: [{
			name: 'uploads', host: 'ends.example', prefix: '/upload/', route_type: 'upload', timeout_ms: 3000, target_latency_ms: 1500, max_attempts: 2, priority: 1, service: 'vault',
		}],
		services: [{name: 'vault', health_check_path: '/health', max_connections: 400}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 10_000_000, header_timeout_ms: 5000, idle_timeout_ms: 8000,
		},
	});
};

const statusOf = (answer: string): number => Number(/^HTTP\/1\.1 (\d{3})/v.exec(answer)?.[1] ?? 0);

const isReady = async (): Promise<boolean> =>
	statusOf(await sendBytes(address, gatewayPorts.ready, 'GET /readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n')) === 200;

const untilReady = async (): Promise<void> => {
	const untilMs = performance.now() + readyWithinMs;
	while (!await isReady()) {
		if (performance.now() > untilMs) {
			throw new Error(`not ready within ${readyWithinMs} ms`);
		}

		await delay(50);
	}
};

/** Runs one gateway beside a store while `act` is in progress. */
const withGateway = async (act: (gateways: SoakGateways) => Promise<void>, limits: {readonly maxDescriptors?: number; readonly memoryMegabytes?: number} = {}): Promise<void> => {
	const store = await createSoakStore(storeAddress, gatewayPorts.store);
	configure(store);
	const gateways = startGateways({
		file: await buildGateway(), addresses: [address], dataCentreOf: () => 'dc-1', storeAddress, memoryMegabytes, ...limits,
	});
	try {
		await act(gateways);
	} finally {
		await gateways.stop();
		store.close();
	}
};

/** Opens a connection that writes `parts` and reads what comes back. */
const startCaller = (...parts: ReadonlyArray<string | Uint8Array>): net.Socket => {
	const socket = net.connect({host: address, port: gatewayPorts.front});
	socket.on('error', () => undefined);
	socket.resume();
	for (const part of parts) {
		socket.write(part);
	}

	return socket;
};

const uploadHead = (...headers: readonly string[]): string => ['POST /upload/x HTTP/1.1', 'host: ends.example', ...headers, '', ''].join('\r\n');

const startLargeUpload = (): net.Socket => startCaller(uploadHead('content-length: 9900001'), new Uint8Array(9_900_000));

const startUploadOfTinyPieces = (): net.Socket => startCaller(uploadHead('transfer-encoding: chunked'), '1\r\nx\r\n'.repeat(200_000));

const startSmallUpload = (): net.Socket => startCaller(uploadHead('content-length: 60000'), new Uint8Array(59_000));

const startHead = (): net.Socket => startCaller(`GET /upload/x HTTP/1.1\r\nhost: ends.example\r\nx: ${'p'.repeat(12_000)}\r\n`);

describe('process of the gateway', function () {
	this.timeout(60_000);

	// Guards against one request line that ends the process, since code that parses it throws where nothing catches it.
	for (const [name, port] of Object.entries({...gatewayPorts, operator: operatorPort}).filter(([other]) => other !== 'store' && other !== 'control')) {
		it(`survives odd requests at its ${name} port`, async () => {
			await withGateway(async gateways => {
				await untilReady();
				for (const [, bytes] of oddRequests) {
					await sendBytes(address, port, bytes, 200);
				}

				await delay(200);
				expect([gateways.unexpectedExits(), gateways.startCount(0), await isReady()]).to.deep.equal([[], 1, true]);
			});
		});
	}

	// Guards against SIGHUP, sent after a change of the settings, that ends a process which still loads its code.
	it('handles SIGHUP about as soon as a program of Node.js can', async () => {
		const file = await buildGateway();
		const delaysMs: number[] = [];
		const leastMs: number[] = [];
		for (let sample = 0; sample < 7; sample++) {
			delaysMs.push(await handlerDelayMs([file]));
			leastMs.push(await handlerDelayMs(['-e', idleProgram]));
		}

		expect(median(delaysMs)).to.be.below(1.5 * median(leastMs));
	});

	// Guards against a process that ends, again and again, while another socket still holds one of its ports.
	const held: ReadonlyArray<readonly [name: string, kind: PortKind, port: number]> = [
		['front', 'stream', gatewayPorts.front],
		['readiness', 'stream', gatewayPorts.ready],
		['lookup', 'stream', gatewayPorts.lookup],
		['peer', 'stream', gatewayPorts.peer],
		['peer', 'datagram', gatewayPorts.peer],
		['operator', 'stream', operatorPort],
	];
	for (const [name, kind, port] of held) {
		it(`waits for its ${name} port (${kind}) while another socket holds it`, async () => {
			const release = await holdPort(kind, address, port);
			await withGateway(async gateways => {
				try {
					await delay(1500);
				} finally {
					release();
				}

				await untilReady();
				expect([gateways.unexpectedExits(), gateways.startCount(0)]).to.deep.equal([[], 1]);
			});
		});
	}

	// Guards against settings that a starting process ignores, since they change after it has read them and before it heeds SIGHUP.
	it('reloads settings that change while it waits for a port', async () => {
		const release = await holdPort('stream', address, gatewayPorts.front);
		await withGateway(async gateways => {
			const hasLogged = async (text: string, withinMs: number): Promise<boolean> => {
				for (const untilMs = performance.now() + withinMs; performance.now() < untilMs;) {
					if (gateways.logs().join('').includes(text)) {
						return true;
					}

					await delay(20);
				}

				return false;
			};

			try {
				expect(await hasLogged('"message":"start"', 3000)).to.equal(true);
				gateways.writeSeeds(0, [`${network}.2`]);
				gateways.signal(0, 'SIGHUP');
				expect(await hasLogged('"message":"settings reloaded"', 1000)).to.equal(true);
			} finally {
				release();
			}
		});
	});

	// Guards against a process that ends since it was started while its settings were being written.
	it('waits for settings that are written while it starts', async () => {
		await withGateway(async gateways => {
			const complete = gateways.cutSettings(0);
			await delay(400);
			complete();
			await untilReady();
			expect([gateways.unexpectedExits(), gateways.startCount(0)]).to.deep.equal([[], 1]);
		});
	});

	// Guards against a report on the process that needs a descriptor, and so ends the process for want of one.
	for (const signal of ['SIGHUP', 'SIGTERM'] as const) {
		it(`heeds ${signal} while its callers take all descriptors`, async () => {
			const maxDescriptors = 60;
			await withGateway(async gateways => {
				await untilReady();
				const sockets = Array.from({length: maxDescriptors + 20}, () => {
					const socket = net.connect({host: address, port: gatewayPorts.front});
					socket.on('error', () => undefined);
					socket.write('GET /upload/x HTTP/1.1\r\nhost: ends.example\r\n');
					return socket;
				});
				await delay(500);
				gateways.signal(0, signal);
				await delay(2500);
				for (const socket of sockets) {
					socket.destroy();
				}

				expect(gateways.logs().join('')).to.include(`"signal":"${signal}"`).and.to.include(signal === 'SIGTERM' ? '"message":"stop"' : '');
				expect([gateways.unexpectedExits(), gateways.startCount(0)]).to.deep.equal([[], signal === 'SIGTERM' ? 2 : 1]);
			}, {maxDescriptors});
		});
	}

	// Guards against callers within the limit of one body that together take the memory of the machine.
	it('stays within the memory of its machine while 40 callers upload 9.9 MB each and finish none', async () => {
		const bodyBytes = 9_900_000;
		await withGateway(async gateways => {
			await untilReady();
			const sockets = Array.from({length: 40}, () => {
				const socket = net.connect({host: address, port: gatewayPorts.front});
				socket.on('error', () => undefined);
				socket.resume();
				socket.write(`POST /upload/x HTTP/1.1\r\nhost: ends.example\r\ncontent-length: ${bodyBytes + 1}\r\n\r\n`);
				socket.write(new Uint8Array(bodyBytes));
				return socket;
			});
			await delay(4000);
			for (const socket of sockets) {
				socket.destroy();
			}

			expect([gateways.unexpectedExits(), gateways.startCount(0)]).to.deep.equal([[], 1]);
			expect(gateways.peakMegabytes()).to.be.below(memoryMegabytes);
		});
	});

	// Guards against a bound that holds at one size of machine, or for one kind of body, only.
	const unfinished: ReadonlyArray<readonly [title: string, machineMegabytes: number, callers: ReadonlyArray<readonly [start: () => net.Socket, count: number]>]> = [
		['200 MB while 40 callers upload 9.9 MB each', 200, [[startLargeUpload, 40]]],
		['700 MB while 40 callers upload 9.9 MB each', 700, [[startLargeUpload, 40]]],
		['350 MB while 40 callers upload 9.9 MB each beside 3,500 heads', 350, [[startHead, 3500], [startLargeUpload, 40]]],
		['350 MB while 40 callers upload pieces of one byte', 350, [[startUploadOfTinyPieces, 40]]],
		['350 MB while 3,500 callers upload 59 KB each', 350, [[startSmallUpload, 3500]]],
	];
	for (const [title, machineMegabytes, callers] of unfinished) {
		it(`stays within ${title} and finish none`, async () => {
			await withGateway(async gateways => {
				await untilReady();
				const sockets: net.Socket[] = [];
				for (const [start, count] of callers) {
					for (let number = 0; number < count; number++) {
						sockets.push(start());
						if (number % 100 === 99) {
							await delay(10);
						}
					}
				}

				await delay(4000);
				for (const socket of sockets) {
					socket.destroy();
				}

				expect([gateways.unexpectedExits(), gateways.startCount(0)]).to.deep.equal([[], 1]);
				expect(gateways.peakMegabytes()).to.be.below(machineMegabytes);
			}, {memoryMegabytes: machineMegabytes});
		});
	}
});
