import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {call} from './support/caller.ts';
import {instanceAt, startHarness, type Harness} from './support/harness.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'seatledger', revision: 1, requestTimeoutMs: 400, slotsPerInstance: 64, notRunStatusCodes: [503],
};
const routes = [
	{
		kind: 'route', schemaVersion: 2, name: 'seats', revision: 1, pathPrefix: '/seats', service: 'seatledger', semantics: 'at-most-once', maxBodyBytes: 16_000_000,
	},
	{
		kind: 'route', schemaVersion: 2, name: 'rosters', revision: 1, pathPrefix: '/rosters', service: 'seatledger', semantics: 'idempotent',
	},
];

const textEnd = '\r\n\r\n';
const part = 'x'.repeat(500);
/** Time between a part of an answer and its end, so that the part has arrived. */
const partMs = 30;
/** Time within which a request ends that its instance breaks. */
const endWithinMs = 3000;

const framings = {
	'without a length': `HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${part}`,
	'with a length': `HTTP/1.1 200 OK\r\ncontent-length: 5000000\r\n\r\n${part}`,
	'in chunks': `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1f4\r\n${part}\r\n`,
};
const ends = ['an end of the connection', 'a reset', 'silence'] as const;
const times = ['when the head of the request has arrived', 'during the upload', 'after the upload'] as const;
const uploads = {'a small upload': 1000, 'a large upload': 8_000_000};

type Script = {
	readonly answer: string;
	readonly end: typeof ends[number];
	readonly time: typeof times[number];
};

/** Answers the first of all requests as the script says, each other one with `ok`. */
const startInstance = async ({answer, end, time}: Script, seen: {count: number}) => {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		let head = '';
		let bodyBytes = 0;
		let isAnswered = false;
		socket.on('data', async bytes => {
			if (head.includes(textEnd)) {
				bodyBytes += bytes.length;
			} else {
				head += bytes.toString('latin1');
				bodyBytes = head.length - head.indexOf(textEnd) - textEnd.length;
			}

			if (isAnswered || !head.includes(textEnd)) {
				return;
			}

			const wantedBytes = Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? 0);
			const isEarly = seen.count === 0 && (time === 'when the head of the request has arrived' || (time === 'during the upload' && bodyBytes > 0));
			if (!isEarly && bodyBytes < wantedBytes) {
				return;
			}

			seen.count++;
			if (seen.count > 1) {
				head = '';
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
				return;
			}

			isAnswered = true;
			socket.write(answer);
			if (time !== 'after the upload') {
				socket.pause();
			}

			await delay(partMs);
			if (end === 'a reset') {
				socket.resetAndDestroy();
			} else if (end === 'an end of the connection') {
				socket.end();
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

const withInstances = async (script: Script, count: number, run: (harness: Harness) => Promise<void>): Promise<void> => {
	const seen = {count: 0};
	const instances = await Promise.all(Array.from({length: count}, async () => startInstance(script, seen)));
	const harness = await startHarness({records: [service, ...routes], instances: instances.map(({port}, index) => instanceAt(`b${index}`, 'seatledger', port))});
	try {
		await run(harness);
	} finally {
		for (const instance of instances) {
			instance.close();
		}

		await harness.close();
	}
};

/** Uploads, and returns what the caller sees: the status, whether the answer looks whole, and the kind of a refusal. */
const upload = async (url: string, sizeBytes: number): Promise<string> => {
	const {hostname, port} = new URL(url);
	const socket = net.connect({host: hostname, port: Number(port)});
	let text = '';
	let isEnded = false;
	socket.on('error', () => undefined);
	socket.on('data', bytes => {
		text += bytes.toString('latin1');
	});
	socket.once('close', () => {
		isEnded = true;
	});
	socket.write(`POST /seats/1 HTTP/1.1\r\nhost: a\r\ncontent-length: ${sizeBytes}\r\n\r\n`);
	socket.write(new Uint8Array(sizeBytes));
	const endsAtMs = Date.now() + endWithinMs;
	for (;;) {
		await delay(20);
		const [head = '', ...rest] = text.split(textEnd);
		const body = rest.join(textEnd);
		const isWhole = rest.length > 0 && (/transfer-encoding: chunked/iv.test(head)
			? body.endsWith(`0${textEnd}`)
			: body.length >= Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? Number.POSITIVE_INFINITY));
		if (isWhole || isEnded || Date.now() >= endsAtMs) {
			socket.destroy();
			return `${head.slice(9, 12)} ${isWhole ? 'whole' : (isEnded ? 'cut' : 'open')} ${/egretwing-kind: (\S+)/v.exec(head)?.[1] ?? ''}`.trim();
		}
	}
};

describe('an entry whose instance cuts its answer short', () => {
	for (const [framing, answer] of Object.entries(framings)) {
		for (const end of ends) {
			for (const [title, sizeBytes] of Object.entries(uploads)) {
				for (const time of times) {
					const expected = framing === 'without a length' ? '502 whole answer-unbounded' : '200 cut';

					it(`never makes the part look whole: ${framing}, ${time} and then ${end}, for ${title}`, async () => {
						await withInstances({answer, end, time}, 1, async harness => {
							expect(await upload(harness.url, sizeBytes)).to.equal(expected);
						});
					});
				}
			}
		}
	}
});

describe('an entry whose instance sends a status that is none', () => {
	const statusLines: readonly string[] = [
		'HTTP/1.1 000 No', 'HTTP/1.1 099 No', 'HTTP/1.1 600 No', 'HTTP/1.1 999 No', 'HTTP/1.1 1000 No', 'HTTP/1.1 20 No', 'HTTP/1.1 -200 No', 'HTTP/1.1 2x0 No', 'HTTP/1.1  No', 'HTTP/1.1',
	];
	for (const line of statusLines) {
		const script: Script = {answer: `${line}\r\ncontent-length: 2\r\n\r\nno`, end: 'silence', time: 'after the upload'};

		it(`reports an unknown outcome of a request that runs once: "${line}"`, async () => {
			await withInstances(script, 1, async harness => {
				expect(await call(`${harness.url}/seats/1`, {method: 'POST', body: 'row=2'})).to.include({statusCode: 502, kind: 'outcome-unknown', ran: 'unknown'});
			});
		});

		it(`asks another instance where the request may run twice: "${line}"`, async () => {
			await withInstances(script, 2, async harness => {
				expect(await call(`${harness.url}/rosters/1`)).to.include({statusCode: 200, text: 'ok', isWhole: true});
			});
		});
	}
});
