import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {createLogger} from '@egretwing/node';
import {
	defaultHeaderNames, startGateway, type Gateway, type StoreClient, type StoreRead,
} from '@egretwing/gateway';
import {Ok, type Result} from 'ts-results-es';
import {networkOf} from '../../../test/support/network.ts';
import {createTestSettings} from './support/settings.ts';

const network = networkOf(213);
const port = 21_600;
const gatewayCount = 5;
/** Long enough that a change is late when nobody reads the store until the end of the shutdown. */
const shutdownMs = 6000;
/** Time within which every gateway has to apply a change of the configuration. */
const applyMs = 2000;
/** Time for members to discover each other and to elect the readers. */
const settlingMs = 2500;
const pollMs = 20;

/** A store whose configuration has a version number only; it records which gateway called last, and when. */
const createStore = () => {
	const callers: string[] = [];
	let version = 1;
	const waitForChange = async (afterRevision: number, endsAtMs: number): Promise<void> => {
		if (version <= afterRevision && performance.now() < endsAtMs) {
			await delay(pollMs);
			await waitForChange(afterRevision, endsAtMs);
		}
	};

	const read = (afterVersion: number): Result<StoreRead, never> => Ok({
		...(version > afterVersion && {
			config: {
				version, routes: [], services: [], limits: {
					maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
				},
			},
		}),
		entries: [],
		refused: [],
		asOf: version,
	});
	return {
		callers,
		clientOf: (hostId: string): StoreClient => ({
			async readAll(topic) {
				callers.push(hostId);
				return topic === 'config' ? read(0) : Ok({entries: [], refused: [], asOf: version});
			},
			async watch(topic, afterRevision, waitMs) {
				callers.push(hostId);
				await waitForChange(afterRevision, performance.now() + waitMs);
				return topic === 'config' ? read(afterRevision) : Ok({entries: [], refused: [], asOf: version});
			},
			close: () => undefined,
		}),
		/** Changes the configuration and returns its version. */
		publish: () => ++version,
	};
};

const versionAt = async (address: string, operatorPort: number): Promise<number> => {
	const response = await fetch(`http://${address}:${operatorPort}/v1/status`);
	const {digest} = await response.json() as {readonly digest: {readonly configVersion: number}};
	return digest.configVersion;
};

/** Waits until the gateway at this address has applied `version` of the configuration. */
const waitForVersion = async (address: string, operatorPort: number, version: number): Promise<void> => {
	while (await versionAt(address, operatorPort) < version) {
		await delay(pollMs);
	}
};

describe('store readers that shut down', () => {
	const running = new Map<string, Gateway>();

	afterEach(async () => {
		await Promise.all(Array.from(running.values(), async gateway => gateway.shutdown()));
		running.clear();
	});

	const cases = [
		{title: 'both at the same time', changes: [300, 1500, 3000], gapMs: 0},
		{title: 'one shortly after the other', changes: [700, 2000, 3500], gapMs: 400},
	] as const;
	for (const {title, changes, gapMs} of cases) {
		it(`leave no change unread for ${applyMs} ms: ${title}`, async function () {
			this.timeout(30_000);
			const store = createStore();
			const settings = Array.from({length: gatewayCount}, (_, index) => createTestSettings(`g-${index}`, `${network}.${index + 1}`, port, {
				seedAddresses: [`${network}.1`, `${network}.2`], dataCentre: `dc-${index % 2}`, shutdownMs,
			}));
			for (const each of settings) {
				running.set(each.hostId, await startGateway(each, {
					store: store.clientOf(each.hostId), headerNames: defaultHeaderNames, logger: createLogger('test', each.hostId, 0),
				}));
			}

			await delay(settlingMs);
			store.callers.length = 0;
			await delay(settlingMs);
			const readers = new Set(store.callers);
			expect(readers).to.have.length(2);

			const others = settings.filter(({hostId}) => !readers.has(hostId));
			const beganAtMs = performance.now();
			const ended = Array.from(readers, async (hostId, index) => {
				await delay(index * gapMs);
				return running.get(hostId)!.shutdown();
			});
			const lateMs: number[] = [];
			for (const changeMs of changes) {
				await delay(Math.max(0, beganAtMs + changeMs - performance.now()));
				const version = store.publish();
				const publishedAtMs = performance.now();
				await Promise.all(others.map(async ({address, operatorPort}) => waitForVersion(address, operatorPort, version)));
				lateMs.push(performance.now() - publishedAtMs);
			}

			await Promise.all(ended);
			expect(lateMs.filter(waitMs => waitMs > applyMs), `applied after ${lateMs.map(waitMs => Math.round(waitMs)).join(', ')} ms`).to.deep.equal([]);
		});
	}
});
