import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import type {FleetConfig, InstanceEntry, InstanceRecord} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient, type StoreRead,
} from '@egretwing/gateway';
import {Ok} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {drainMs, maxPausedArrivals, pauseGraceMs} from '../../../test/support/notice-bounds.ts';
import {
	sentAtHeader, startNoticingInstance, type NoticingInstance, type Treatment,
} from './support/noticing-instance.ts';
import {createTestSettings} from './support/settings.ts';

const address = `${networkOf(214)}.1`;
/** A second gateway, in another data centre, so that callers are sent to both. */
const peerAddress = `${networkOf(214)}.2`;
/** Below the ephemeral ports, which the system assigns to connections and to the instances of these tests. */
const entryPort = 22_900;

const pauseSeconds = 2;
/** Time for which each service gets requests. */
const loadMs = 5000;
const loadIntervalMs = 80;
const workMs = 100;
const timeoutMs = 1000;

const leaving = {'egretwing-leaving': '1'} as const;

const good: Treatment = {type: 'answer', statusCode: 200, isRun: true};
const notRun: Treatment = {type: 'answer', statusCode: 503, isRun: false};

/** The treatment, with headers that an instance adds about itself. */
const saying = (treatment: Extract<Treatment, {type: 'answer'}>, headers: http.OutgoingHttpHeaders): Treatment => ({...treatment, headers});

type Treat = (index: number) => Treatment;

const always = (treatment: Treatment): Treat => () => treatment;

/** Good answers before those of `treatment`. */
const afterGood = (count: number, treatment: Treatment): Treat => index => index < count ? good : treatment;

type Answer = {
	readonly requestId: string;
	readonly sentAtMs: number;
	readonly tookMs: number;
	readonly statusCode: number;
	/** Kind of the refusal; undefined for the answer of an instance. */
	readonly kind: string | undefined;
	readonly retryAfterMs: number;
};

type Case = {
	readonly title: string;
	/** The first instance is the one that says something of itself. */
	readonly instances: readonly Treat[];
	readonly semantics?: 'idempotent' | 'at-most-once';
};

const leavingAnswers: ReadonlyArray<readonly [kind: string, treatment: Treatment]> = [
	['a success', saying(good, leaving)],
	['a success in chunks', saying({...good, isChunked: true}, leaving)],
	['a failure', saying({...good, statusCode: 500}, leaving)],
	['a refusal', saying(notRun, leaving)],
	['a refusal that it signs', saying({...good, statusCode: 503}, leaving)],
];

const leavingCases: readonly Case[] = [
	...leavingAnswers.flatMap(([kind, treatment]): readonly Case[] => [
		{title: `in ${kind}, alone in its service`, instances: [afterGood(2, treatment)]},
		{title: `in ${kind}, beside others`, instances: [afterGood(2, treatment), always(good), always(good)]},
	]),
	{
		title: 'where requests are repeated because the other instance breaks them',
		instances: [always(saying(good, leaving)), always({type: 'reset'})],
		semantics: 'idempotent',
	},
	{
		title: 'where requests are hedged because the other instance does not answer',
		instances: [always(saying(good, leaving)), always({type: 'hang'})],
		semantics: 'idempotent',
	},
];

const pauseAnswer = (seconds: string, changes: Partial<Extract<Treatment, {type: 'answer'}>> = {}): Treatment =>
	({
		...notRun, ...changes, type: 'answer', headers: {'retry-after': seconds},
	});

const pausingCases: readonly Case[] = [
	{title: 'alone in its service', instances: [afterGood(2, pauseAnswer(String(pauseSeconds)))]},
	{title: 'beside others', instances: [afterGood(2, pauseAnswer(String(pauseSeconds))), always(good), always(good)]},
	{title: 'in fractions of a second', instances: [always(pauseAnswer((pauseSeconds - 0.001).toFixed(3)))]},
	{title: 'in a refusal that it signs', instances: [always(pauseAnswer(String(pauseSeconds), {isRun: true}))]},
	{title: 'as all instances of its service do', instances: Array.from({length: 3}, () => always(pauseAnswer(String(pauseSeconds))))},
	{
		title: 'where requests are repeated because the other instance breaks them',
		instances: [always(pauseAnswer(String(pauseSeconds))), always({type: 'reset'})],
		semantics: 'idempotent',
	},
	{
		title: 'where requests are hedged because the other instance does not answer',
		instances: [always(pauseAnswer(String(pauseSeconds))), always({type: 'hang'})],
		semantics: 'idempotent',
	},
];

/** Values that ask for no pause that can be kept to. */
const ignoredPauses = ['0', '-3', 'soon', '1e9', '', 'Wed, 02 Dec 2026 10:00:00 GMT'] as const;

const ignoredCases: readonly Case[] = ignoredPauses.map(value => ({
	title: JSON.stringify(value), instances: [(index): Treatment => index === 0 ? pauseAnswer(value) : good],
}));

const cases: readonly Case[] = [...leavingCases, ...pausingCases, ...ignoredCases];

const pathOf = (index: number): string => `/${index}/`;

const config: FleetConfig = {
	version: 1,
	routes: cases.map(({semantics = 'at-most-once'}, index) => ({
		name: `r-${index}`,
		hostName: 'a.example',
		pathPrefix: pathOf(index),
		semantics,
		timeoutMs,
		latencyObjectiveMs: timeoutMs,
		maxAttempts: 3,
		rank: 1,
		services: [{service: `s-${index}`, weight: 1}],
	})),
	services: cases.map((_, index) => ({name: `s-${index}`, healthPath: '/', connectionsPerInstance: 20})),
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	},
};

const watchMs = 200;

/** A store whose instances can register anew. */
const createStore = () => {
	const entries = new Map<string, InstanceEntry>();
	let revision = 10;

	const read = (fromRevision: number): StoreRead => ({
		entries: [...entries.values()].filter(entry => entry.revision > fromRevision), refused: [], asOf: revision,
	});

	const client: StoreClient = {
		readAll: async topic => Ok(topic === 'config' ? {...read(revision), config} : read(-1)),
		async watch(topic, afterRevision) {
			await delay(watchMs);
			return Ok(topic === 'config' ? {...read(revision)} : read(afterRevision));
		},
		close: () => undefined,
	};
	return {
		client,
		register(instanceId: string, record: Pick<InstanceRecord, 'service' | 'port' | 'bornAtMs'>): void {
			revision++;
			entries.set(instanceId, {
				instanceId,
				revision,
				record: {
					...record, address, dataCentre: 'a', slots: 1, state: 'ready', warmupLeftMs: 0,
				},
			});
		},
	};
};

let counter = 0;

const call = async (index: number, host = address): Promise<Answer> => {
	const requestId = `r${counter++}`;
	const sentAtMs = performance.now();
	return new Promise((resolve, reject) => {
		const request = http.request({
			host, port: entryPort, path: pathOf(index), agent: false, headers: {
				host: 'a.example', 'egretwing-request-id': requestId, 'egretwing-deadline-ms': String(timeoutMs), [sentAtHeader]: String(sentAtMs),
			},
		}, response => {
			response.resume();
			response.once('end', () => {
				resolve({
					requestId,
					sentAtMs,
					tookMs: performance.now() - sentAtMs,
					statusCode: response.statusCode!,
					kind: response.headers['egretwing-kind'] as string | undefined,
					retryAfterMs: 1000 * Number(response.headers['retry-after'] ?? Number.NaN),
				});
			});
			response.once('error', reject);
		});
		request.once('error', reject);
		request.end();
	});
};

const sendLoad = async (index: number, forMs: number): Promise<readonly Answer[]> => {
	const sent: Array<Promise<Answer>> = [];
	for (const endMs = performance.now() + forMs; performance.now() < endMs;) {
		sent.push(call(index));
		await delay(loadIntervalMs);
	}

	return Promise.all(sent);
};

describe('what an instance says of itself in its answers', function () {
	this.timeout(20_000);
	const store = createStore();
	const gateways: Gateway[] = [];
	const services: Array<readonly NoticingInstance[]> = [];
	const answers: Array<readonly Answer[]> = [];

	before(async () => {
		services.push(...await Promise.all(cases.map(async ({instances}) => Promise.all(instances.map(async treat => startNoticingInstance(address, workMs, treat))))));
		for (const [index, instances] of services.entries()) {
			for (const [place, {port}] of instances.entries()) {
				store.register(`i-${index}-${place}`, {service: `s-${index}`, port, bornAtMs: 1});
			}
		}

		const retryLimits = {ratio: 1, slack: 100, windowMs: 10_000};
		for (const [own, dataCentre] of [[address, 'a'], [peerAddress, 'b']] as const) {
			gateways.push(await startGateway(createTestSettings(`g-${dataCentre}`, own, entryPort, {dataCentre, seedAddresses: [address], retryLimits}), {
				store: store.client, headerNames: defaultHeaderNames, logger: createLogger('test', 'g', 0),
			}));
		}

		while (!gateways.every(gateway => gateway.isReady() && new Set(['a', 'b'].flatMap(dataCentre => gateway.locate(dataCentre).addresses).map(each => each.address)).size === 2)) {
			await delay(20);
		}

		answers.push(...await Promise.all(cases.map(async (_, index) => sendLoad(index, loadMs))));
	});

	after(async () => {
		await Promise.all(gateways.map(async gateway => gateway.shutdown()));
		for (const instance of services.flat()) {
			instance.close();
		}
	});

	for (const [index, {title}] of leavingCases.entries()) {
		it(`gets no new request to an instance that says it leaves ${title}`, () => {
			const [first] = services[index]!;
			const lateMs = first!.arrivals.map(({sentAtMs}) => Math.round(sentAtMs - first!.noticedAtMs())).filter(afterMs => afterMs > drainMs);
			expect(first!.noticedAtMs(), 'time of the first answer that says so').to.be.below(Number.POSITIVE_INFINITY);
			expect(lateMs, 'milliseconds after the first such answer').to.deep.equal([]);
		});
	}

	it('is passed on to the gateways that callers are sent to, which need not ask an instance that leaves', async () => {
		const index = leavingCases.findIndex(({title}) => title === 'in a refusal, alone in its service');
		const [first] = services[index]!;
		const before = first!.arrivals.length;
		const {statusCode} = await call(index, peerAddress);
		expect(statusCode).to.equal(503);
		expect(first!.arrivals.length).to.equal(before);
	});

	/** What is registered after the instance has said that it leaves, and whether the instance at the same port gets the next request. */
	const registrations: ReadonlyArray<{readonly title: string; readonly instanceId: (index: number) => string; readonly bornAtMs: number; readonly isUsed: boolean}> = [
		{
			title: 'does not use an instance again that says it leaves, when it is registered once more by the same run', instanceId: index => `i-${index}-0`, bornAtMs: 1, isUsed: false,
		},
		{
			title: 'uses an instance again that said it leaves, when a later run registers under its id', instanceId: index => `i-${index}-0`, bornAtMs: 2, isUsed: true,
		},
		{
			title: 'uses another instance at the address of one that says it leaves', instanceId: index => `i-${index}-9`, bornAtMs: 1, isUsed: true,
		},
	];
	for (const [place, {title, instanceId, bornAtMs, isUsed}] of registrations.entries()) {
		it(title, async () => {
			const index = 2 * place;
			const [first] = services[index]!;
			const before = first!.arrivals.length;
			store.register(instanceId(index), {service: `s-${index}`, port: first!.port, bornAtMs});
			await delay(3 * watchMs);
			await call(index);
			expect(first!.arrivals.length - before).to.equal(Number(isUsed));
		});
	}

	/** Answers to requests that were sent once an instance had said that it leaves, and the news had arrived. */
	const answersAfterNotice = (index: number): readonly Answer[] => {
		const fromMs = Math.max(...services[index]!.map(instance => instance.noticedAtMs()).filter(atMs => Number.isFinite(atMs))) + workMs;
		return answers[index]!.filter(({sentAtMs}) => sentAtMs > fromMs);
	};

	for (const [index, {title}] of leavingCases.entries()) {
		if (title.endsWith('alone in its service')) {
			it(`gets no waiting request to an instance that says it leaves ${title}`, () => {
				const [first] = services[index]!;
				const waited = first!.arrivals.filter(({sentAtMs, atMs}) => sentAtMs < first!.noticedAtMs() && atMs > first!.noticedAtMs());
				expect(waited.map(({atMs}) => Math.round(atMs - first!.noticedAtMs())), 'milliseconds after the first such answer').to.deep.equal([]);
			});

			it(`gets callers of an instance that says it leaves ${title}, rejected at once and asked to come back`, () => {
				const late = answersAfterNotice(index);
				expect(late.length).to.be.above(10);
				// This kind says that there was no instance to wait for.
				expect(late.filter(({statusCode, kind, retryAfterMs}) => statusCode !== 503 || kind !== 'no-capacity' || !(retryAfterMs > 0))).to.deep.equal([]);
			});
		}

		if (title.endsWith('beside others')) {
			it(`gets callers of an instance that says it leaves ${title}, served by them`, () => {
				const late = answersAfterNotice(index);
				expect(late.length).to.be.above(10);
				expect(late.filter(({statusCode}) => statusCode === 200).length / late.length).to.be.at.least(0.9);
			});
		}
	}

	for (const [place, {title}] of pausingCases.entries()) {
		const index = leavingCases.length + place;
		it(`keeps requests from an instance that asks for a pause ${title}`, () => {
			for (const {arrivals, noticedAtMs} of services[index]!) {
				const paused = arrivals.map(({atMs}) => Math.round(atMs - noticedAtMs())).filter(afterMs => afterMs > pauseGraceMs && afterMs < (1000 * pauseSeconds) - 1);
				expect(paused.length, `arrivals at ${paused.join(', ')} ms`).to.be.at.most(maxPausedArrivals);
			}
		});

		it(`keeps requests from an instance that asks for a pause ${title}, and sends it some after the pause`, () => {
			const [first] = services[index]!;
			expect(first!.arrivals.filter(({atMs}) => atMs - first!.noticedAtMs() > 1000 * pauseSeconds).length).to.be.above(0);
		});
	}

	it('asks callers to come back after the pause, and rejects them at once, where all instances ask for one', () => {
		const index = leavingCases.length + pausingCases.findIndex(({title}) => title.startsWith('as all'));
		const pausedAtMs = services[index]!.map(instance => instance.noticedAtMs());
		const fromMs = Math.max(...pausedAtMs) + workMs;
		const firstEndMs = Math.min(...pausedAtMs) + (1000 * pauseSeconds);
		// Those that can be served after the pause wait for it.
		const late = answers[index]!.filter(({sentAtMs}) => sentAtMs > fromMs && sentAtMs < firstEndMs - timeoutMs);
		expect(late.length).to.be.above(3);
		expect(late.filter(({statusCode, tookMs, sentAtMs, retryAfterMs}) => statusCode !== 503 || sentAtMs + tookMs + retryAfterMs < firstEndMs)).to.deep.equal([]);
	});

	for (const [place, {title}] of ignoredCases.entries()) {
		it(`keeps an instance in use that asks for a pause of ${title}`, () => {
			const [first] = services[leavingCases.length + pausingCases.length + place]!;
			expect(first!.arrivals.filter(({atMs}) => atMs - first!.noticedAtMs() > pauseGraceMs).length).to.be.above(maxPausedArrivals);
		});
	}
});
