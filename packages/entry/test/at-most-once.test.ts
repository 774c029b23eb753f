import type net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetMember} from '@egretwing/core';
import type {EntrySettings} from '../src/index.ts';
import {call, waitUntil, type Exchange} from './support/caller.ts';
import {startHarness, type Harness} from './support/harness.ts';
import {startRawBackend, type RawBackend, type RawRequest} from './support/raw-backend.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'settle', revision: 1, requestTimeoutMs: 600, notRunStatusCodes: [503], keyLifetimeMs: 30_000,
};
const route = {
	kind: 'route', schemaVersion: 2, name: 'payments', revision: 1, pathPrefix: '/payments', service: 'settle', semantics: 'at-most-once',
};

type Script = (socket: net.Socket, number: number, request: RawRequest) => void;

type Fleet = {
	readonly entries: readonly [Harness, Harness];
	readonly backends: readonly [RawBackend, RawBackend];
	/** Number of requests that reached any backend server. */
	readonly runs: () => number;
	/** Returns a new key that names the first entry. */
	readonly takeKey: () => Promise<string>;
	readonly send: (entry: Harness, key: string, init?: RequestInit) => Promise<Exchange>;
};

type FleetOptions = {
	readonly settings?: Partial<EntrySettings>;
	readonly service?: Readonly<Record<string, unknown>>;
};

/** Responds with the number of the run, so that a second run is detected. */
const answerNumber: Script = (socket, number) => {
	const body = `no${number}`;
	socket.write(`HTTP/1.1 201 Created\r\nx-run: ${number}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
};

const incarnationOf = async ({entry}: Harness): Promise<number> => {
	const response = await fetch(`http://127.0.0.1:${entry.operatorPort}/v1/status`);
	const {incarnation} = await response.json() as {readonly incarnation: number};
	return incarnation;
};

const memberOf = async (hostId: string, harness: Harness): Promise<FleetMember> => ({
	host: {
		role: 'entry', hostId, address: '127.0.0.1', region: 'r', dataCentre: 'd', state: 'live', entryPort: harness.entry.port, locatePort: 1, peerPort: 1,
	},
	incarnation: await incarnationOf(harness),
	usable: true,
});

/** Calls `run` with two entries that know each other and two instances that respond according to `script`. */
const withFleet = async (script: Script, run: (fleet: Fleet) => Promise<void>, options: FleetOptions = {}): Promise<void> => {
	let number = 0;
	const answer: Script = (socket, _number, request) => {
		number++;
		script(socket, number, request);
	};

	const backends = [await startRawBackend('b0', 'settle', answer), await startRawBackend('b1', 'settle', answer)] as const;
	const start = async (hostId: string): Promise<Harness> => startHarness({
		records: [{...service, ...options.service}, route], instances: backends.map(backend => backend.instance), hostId, settings: options.settings,
	});
	const entries = [await start('entry-a'), await start('entry-b')] as const;
	const members = [await memberOf('entry-a', entries[0]), await memberOf('entry-b', entries[1])];
	for (const entry of entries) {
		entry.putMembers(members);
	}

	let keys = 0;
	try {
		await delay(50);
		await run({
			entries,
			backends,
			runs: () => number,
			async takeKey() {
				const response = await fetch(`${entries[0].url}/.well-known/egretwing/idempotency-key?service=settle`);
				const {keyPrefix} = await response.json() as {readonly keyPrefix: string};
				keys++;
				return `${keyPrefix}payment-${keys}`;
			},
			async send(entry, key, init = {}) {
				return call(`${entry.url}/payments/7`, {
					method: 'POST', body: 'wheels=2', ...init, headers: {'idempotency-key': key, ...init.headers},
				});
			},
		});
	} finally {
		for (const backend of backends) {
			backend.close();
		}

		await Promise.all(entries.map(async entry => entry.close().catch(() => undefined)));
	}
};

describe('a request with an idempotency key', () => {
	it('runs once, and every resend through the owner or another entry receives the stored response', async () => {
		await withFleet(answerNumber, async ({entries, runs, takeKey, send}) => {
			const key = await takeKey();
			const first = await send(entries[1], key);
			expect(first).to.include({statusCode: 201, text: 'no1'});
			for (const entry of [entries[0], entries[1], entries[0]]) {
				const again = await send(entry, key);
				expect(again).to.include({statusCode: 201, text: 'no1'});
				expect(again.headers.get('x-run')).to.equal('1');
				expect(again.headers.get('egretwing-replayed')).to.equal('true');
			}

			expect(runs()).to.equal(1);
		});
	});

	it('runs again if it is resent without the key', async () => {
		await withFleet(answerNumber, async ({entries, runs}) => {
			for (const {url} of entries) {
				await call(`${url}/payments/7`, {method: 'POST', body: 'wheels=2'});
			}

			expect(runs()).to.equal(2);
		});
	});

	it('runs once when it is sent to several entries concurrently', async () => {
		await withFleet((socket, number, request) => {
			setTimeout(answerNumber, 50, socket, number, request);
		}, async ({entries, runs, takeKey, send}) => {
			const keys = await Promise.all(Array.from({length: 10}, async () => takeKey()));
			const [a, b] = entries;
			const exchanges = await Promise.all(keys.flatMap(key => [send(a, key), send(b, key), send(b, key), send(a, key)]));
			expect(exchanges.map(exchange => exchange.statusCode)).to.deep.equal(exchanges.map(() => 201));
			expect(new Set(exchanges.map(exchange => exchange.text)).size).to.equal(keys.length);
			expect(runs()).to.equal(keys.length);
		});
	});

	it('has an unknown outcome for every resend after the backend connection was reset', async () => {
		await withFleet(socket => {
			socket.resetAndDestroy();
		}, async ({entries, runs, takeKey, send}) => {
			const key = await takeKey();
			for (const entry of [entries[0], entries[1], entries[0]]) {
				expect(await send(entry, key)).to.include({kind: 'outcome-unknown', ran: 'unknown'});
			}

			expect(runs()).to.equal(1);
		});
	});

	it('completes after its caller has disconnected if it was already written, so that a resend receives the response', async () => {
		await withFleet((socket, number, request) => {
			setTimeout(answerNumber, 200, socket, number, request);
		}, async ({entries, runs, takeKey, send}) => {
			for (const entry of entries) {
				const before = runs();
				const key = await takeKey();
				const abort = new AbortController();
				const pending = send(entry, key, {signal: abort.signal}).catch(() => 'aborted');
				await waitUntil(() => runs() === before + 1);
				abort.abort();
				expect(await pending).to.equal('aborted');
				expect(await send(entries[1], key)).to.include({text: `no${runs()}`, statusCode: 201});
				expect(runs()).to.equal(before + 1);
			}
		}, {settings: {headersTimeoutMs: 1000}});
	});

	it('is refused if the key was used for another path or body', async () => {
		await withFleet(answerNumber, async ({entries, runs, takeKey, send}) => {
			const key = await takeKey();
			await send(entries[0], key);
			expect(await send(entries[1], key, {body: 'wheels=3'})).to.include({kind: 'key-mismatch', ran: 'not-run'});
			const headers = {'idempotency-key': key};
			expect(await call(`${entries[0].url}/payments/8`, {method: 'POST', body: 'wheels=2', headers})).to.include({kind: 'key-mismatch'});
			expect(runs()).to.equal(1);
		});
	});

	it('has an unknown outcome while the owner of the key is unreachable, and counts as not run only if it is a first send', async () => {
		await withFleet(answerNumber, async ({entries, runs, takeKey, send}) => {
			const [owner, other] = entries;
			const used = await takeKey();
			const unused = await takeKey();
			await send(owner, used);
			await owner.close();
			expect(await send(other, used)).to.include({kind: 'key-owner-unreachable', ran: 'unknown'});
			const first = await send(other, unused, {headers: {'idempotency-key': unused, 'egretwing-first-send': 'true'}});
			expect(first).to.include({kind: 'key-owner-unreachable', ran: 'not-run'});
			expect(runs()).to.equal(1);
		});
	});

	it('has an unknown outcome after another process has replaced the owner of the key', async () => {
		await withFleet(answerNumber, async ({entries, runs, takeKey, send}) => {
			const [owner, other] = entries;
			const key = await takeKey();
			await send(owner, key);
			const successor = await startHarness({records: [service, route], instances: [], hostId: 'entry-a'});
			const members = [await memberOf('entry-a', successor), await memberOf('entry-b', other)];
			for (const entry of [other, successor]) {
				entry.putMembers(members);
			}

			await delay(50);
			for (const entry of [other, successor]) {
				expect(await send(entry, key)).to.include({kind: 'key-owner-gone', ran: 'unknown'});
			}

			expect(runs()).to.equal(1);
			await successor.close();
		});
	});

	it('is refused and not run after the lifetime of the key', async () => {
		await withFleet(answerNumber, async ({entries, runs, takeKey, send}) => {
			const [used, unused] = [await takeKey(), await takeKey()];
			await send(entries[0], used);
			await delay(2500);
			for (const key of [used, unused]) {
				expect(await send(entries[1], key)).to.include({kind: 'key-expired', ran: 'unknown'});
			}

			expect(runs()).to.equal(1);
		}, {service: {keyLifetimeMs: 500}});
	});

	it('is refused as not run while the key storage is full, but resends with stored keys are still answered', async () => {
		await withFleet(answerNumber, async ({entries, runs, takeKey, send}) => {
			const known = await takeKey();
			await send(entries[0], known);
			expect(await send(entries[1], await takeKey())).to.include({kind: 'key-memory-full', ran: 'not-run'});
			expect(await send(entries[1], known)).to.include({text: 'no1'});
			expect(runs()).to.equal(1);
		}, {settings: {maxIdempotencyKeys: 2}});
	});

	it('runs on the next instance, or on a resend, after a status code that means not run', async () => {
		await withFleet((socket, number, request) => {
			if (number <= 2) {
				socket.write('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n');
			} else {
				answerNumber(socket, number, request);
			}
		}, async ({entries, takeKey, send}) => {
			const key = await takeKey();
			expect(await send(entries[1], key, {body: null})).to.include({kind: 'shed-by-backend', ran: 'not-run'});
			expect(await send(entries[0], key, {body: null})).to.include({text: 'no3'});
			expect(await send(entries[1], key, {body: null})).to.include({text: 'no3'});
		});
	});

	it('is reported to a resend as run if its response was too large to store', async () => {
		await withFleet(socket => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n${'a'.repeat(100_000)}`);
		}, async ({entries, runs, takeKey, send}) => {
			const key = await takeKey();
			const first = await send(entries[1], key);
			expect(first.text).to.have.length(100_000);
			expect(await send(entries[1], key)).to.include({kind: 'answer-not-kept', ran: 'ran'});
			expect(runs()).to.equal(1);
		});
	});

	type RefusalCase = {readonly title: string; readonly path: string; readonly headers: Record<string, string>; readonly kind: string; readonly ran: string};
	const refusals: readonly RefusalCase[] = [
		{
			title: 'a malformed key', path: '/payments/7', headers: {'idempotency-key': 'eg1.x'}, kind: 'key-malformed', ran: 'not-run',
		},
		{
			title: 'a request with a forged signature of an entry', path: '/payments/7', headers: {'idempotency-key': 'k', 'egretwing-forward': 'AAAAAAAAAAAAAAAAAAAAAA'},
			kind: 'forward-refused', ran: 'not-run',
		},
		{
			title: 'a resend whose route no longer exists', path: '/other', headers: {'idempotency-key': 'k'}, kind: 'no-route', ran: 'unknown',
		},
		{
			title: 'a first send without a route', path: '/other', headers: {'idempotency-key': 'k', 'egretwing-first-send': 'true'}, kind: 'no-route', ran: 'not-run',
		},
		{
			title: 'a key without a prefix whose owner may have started recently', path: '/payments/7', headers: {'idempotency-key': 'k'}, kind: 'key-owner-unreachable', ran: 'unknown',
		},
	];
	it('is refused with the correct run state', async () => {
		await withFleet(answerNumber, async ({entries, runs}) => {
			for (const {title, path, headers, kind, ran} of refusals) {
				const exchange = await call(entries[0].url + path, {method: 'POST', headers});
				expect(exchange, title).to.include({kind, ran});
			}

			expect(runs()).to.equal(0);
		});
	});
});
