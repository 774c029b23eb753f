/**
 * One seeded run: gateways as separate processes, callers, instances and a store, harmed from outside, and what callers
 * and instances saw held against the promises.
 */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@egretwing/core';
import {createCallers, type Call, type Callers} from './callers.ts';
import {gatewayPorts, startGateways, type SoakGateways} from './gateways.ts';
import {createSoakInstance, type Run, type SoakInstance} from './instances.ts';
import {createProxy, type Proxy} from './proxy.ts';
import {
	drawSchedule, type SoakAction, type SoakSize, type SoakStep,
} from './schedule.ts';
import {createSoakStore, type SoakStore} from './store.ts';

/** One run. */
export type SoakOptions = SoakSize & {
	readonly seed: number;
	/** Built program of the gateway. */
	readonly file: string;
	/** First three parts of the loopback addresses. */
	readonly network: string;
	readonly requestsPerSecond: number;
};

/** What a run showed. */
export type SoakReport = {
	readonly seed: number;
	readonly flaws: readonly string[];
	readonly calls: number;
	readonly served: number;
	readonly steps: readonly SoakStep[];
	readonly logs: readonly string[];
};

const dataCentres = ['dc-1', 'dc-2'];
const slots = 4;
const innerPortOffset = 1000;
const instancePort = 8000;
const leavingMs = 1500;
/** A configuration is in force everywhere this long after it was acknowledged, outside of disturbances. */
const configApplyMs = 2000;
/** Share of the requests of the calm end that must be served: one instance answer in a hundred may be late on a busy machine, the rest is margin for the machine. */
const calmServedShare = 0.95;
const notRunStatusCodes: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type Slot = {
	life: number;
	instance: SoakInstance;
	readonly proxy: Proxy;
};

type Stage = {
	readonly options: SoakOptions;
	readonly store: SoakStore;
	readonly storeProxy: Proxy;
	readonly gateways: SoakGateways;
	readonly callers: Callers;
	readonly slots: Slot[];
	readonly runs: Run[];
	readonly startInstance: (index: number, life: number) => Promise<SoakInstance>;
	readonly register: (index: number, state: 'ready' | 'draining') => void;
	version: number;
};

const instanceIdOf = (index: number, life: number): string => `i-${index}-${life}`;

const configure = (stage: Stage): void => {
	stage.version++;
	const {version} = stage;
	const route = (name: string, prefix: string, type: string) => ({
		name, host: 'soak.example', prefix, route_type: type, timeout_ms: 1200, target_latency_ms: 800, max_attempts: 2, priority: 1, service: 'soak',
	});
	stage.store.put('op/config', {
		version: version.toString(16).padStart(8, '0'),
		routes: [
			route('read', '/read/', 'safe'),
			route('write', '/write/', 'unsafe'),
			route('upload', '/upload/', 'upload'),
			...Array.from({length: version}, (_, index) => route(`added-${index + 1}`, `/added-${index + 1}/`, 'safe')),
		],
		services: [{name: 'soak', health_check_path: '/health', max_connections: 400}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 5000, idle_timeout_ms: 8000,
		},
	});
};

const replace = async (stage: Stage, index: number): Promise<void> => {
	const slot = stage.slots[index]!;
	const {life} = slot;
	stage.register(index, 'draining');
	await delay(leavingMs);
	// A later replacement of the same instance has taken over.
	if (slot.life !== life) {
		return;
	}

	stage.store.remove(`servers/${instanceIdOf(index, life)}`);
	slot.instance.close();
	slot.life++;
	slot.instance = await stage.startInstance(index, slot.life);
	stage.register(index, 'ready');
};

const act = (stage: Stage, action: SoakAction): void => {
	const {
		gateways, store, storeProxy, slots: all, options,
	} = stage;
	switch (action.type) {
		case 'signal': {
			gateways.signal(action.gateway, action.signal);
			return;
		}

		case 'signal-all': {
			for (let number = 0; number < options.gateways; number++) {
				gateways.signal(number, action.signal);
			}

			return;
		}

		case 'instance': {
			all[action.instance]!.instance.setBehaviour(action.behaviour);
			return;
		}

		case 'instance-link': {
			all[action.instance]!.proxy.setFault(action.fault);
			return;
		}

		case 'store-link': {
			storeProxy.setFault(action.fault);
			return;
		}

		case 'store-busy': {
			store.setBusy(action.isBusy);
			return;
		}

		case 'configure': {
			configure(stage);
			return;
		}

		case 'replace': {
			void replace(stage, action.instance);
		}
	}
};

/** Work that ran twice or contrary to its refusal, and answers or bodies that are not the request's own. */
export const judgeRuns = (calls: readonly Call[], runs: readonly Run[]): readonly string[] => {
	const runsById = new Map<string, Run[]>();
	for (const run of runs) {
		runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
	}

	return calls.flatMap(({requestId, kind, end}) => {
		const ran = runsById.get(requestId) ?? [];
		const where = ran.map(({instanceId}) => instanceId).join(', ');
		const isNotRun = end.type === 'answered' && notRunStatusCodes.has(end.statusCode);
		return [
			...(kind !== 'read' && ran.length > 1 ? [`${kind} ${requestId} ran at ${where}`] : []),
			...(kind !== 'read' && isNotRun && ran.length > 0 ? [`${kind} ${requestId} was refused as not run and ran at ${where}`] : []),
			...(end.type === 'answered' && end.flaw !== '' ? [`${kind} ${requestId}: ${end.flaw}`] : []),
			...ran.filter(({flaw}) => flaw !== '').map(({flaw}) => `${kind} ${requestId}: instance got ${flaw}`),
		];
	});
};

/** Requests that an instance ran and whose connection ended without an answer, at gateways that were never killed. */
export const judgeLost = (calls: readonly Call[], runs: readonly Run[], killedAddresses: ReadonlySet<string>): readonly string[] => {
	const ran = new Set(runs.map(({requestId}) => requestId));
	return calls.flatMap(({requestId, kind, gateway, end}) =>
		end.type === 'closed' && end.detail !== 'deadline of the caller' && ran.has(requestId) && !killedAddresses.has(gateway)
			? [`${kind} ${requestId} ran, and ${gateway} closed the connection without an answer (${end.detail})`]
			: []);
};

/** Whether requests are served again from `fromMs` on, Unix time. */
export const judgeCalm = (calls: readonly Call[], fromMs: number): readonly string[] => {
	const calm = calls.filter(({sentAtMs}) => sentAtMs >= fromMs);
	const unserved = calm.filter(({end}) => end.type !== 'answered' || end.statusCode !== 200);
	if (unserved.length <= (1 - calmServedShare) * calm.length) {
		return [];
	}

	const examples = unserved.slice(0, 5).map(({requestId, gateway, end}) => `${requestId} ${gateway} ${JSON.stringify(end)}`);
	return [`${unserved.length} of ${calm.length} requests not served after the faults: ${examples.join('; ')}`];
};

const judgeConfig = async ({callers, version}: Stage, addresses: readonly string[]): Promise<readonly string[]> => {
	const ends = await Promise.all(addresses.map(async address => ({address, end: await callers.probe(address, `/added-${version}/x`)})));
	return ends.flatMap(({address, end}) => end.type === 'answered' && end.statusCode === 404 ? [`${address} does not know the newest route`] : []);
};

const sendLoad = async ({callers, options}: Stage, random: () => number, untilMs: number): Promise<void> => {
	const sent: Array<Promise<void>> = [];
	while (performance.now() < untilMs) {
		const draw = random();
		const kind = draw < 0.5 ? 'read' : (draw < 0.9 ? 'write' : 'upload');
		sent.push(callers.send(kind, `/${kind}/x`));
		await delay(2000 * random() / options.requestsPerSecond);
	}

	await Promise.all(sent);
};

/** A process that is paused while it shuts down is killed in the end. */
const mayBeKilled = (action: SoakAction): boolean =>
	(action.type === 'signal' && (action.signal === 'SIGKILL' || action.signal === 'SIGSTOP')) || (action.type === 'signal-all' && action.signal === 'SIGKILL');

const killedAddressesOf = (steps: readonly SoakStep[], addresses: readonly string[]): ReadonlySet<string> => new Set(steps
	.filter(({action}) => mayBeKilled(action))
	.flatMap(({action}) => action.type === 'signal' ? [addresses[action.gateway]!] : addresses));

const prepare = async (options: SoakOptions): Promise<Stage & {readonly addresses: readonly string[]}> => {
	const {network, seed, gateways, instances, file} = options;
	const random = createRandom(seed + 1);
	const addresses = Array.from({length: gateways}, (_, number) => `${network}.${number + 1}`);
	const storeAddress = `${network}.100`;
	const store = await createSoakStore(storeAddress, gatewayPorts.store + innerPortOffset);
	const storeProxy = await createProxy(storeAddress, gatewayPorts.store, gatewayPorts.store + innerPortOffset);
	const runs: Run[] = [];
	const addressOf = (index: number): string => `${network}.${101 + index}`;
	const startInstance = async (index: number, life: number): Promise<SoakInstance> => createSoakInstance({
		instanceId: instanceIdOf(index, life), address: addressOf(index), port: instancePort + innerPortOffset, slots, random, runs,
	});
	const all: Slot[] = [];
	for (let index = 0; index < instances; index++) {
		const proxy = await createProxy(addressOf(index), instancePort, instancePort + innerPortOffset);
		all.push({life: 0, instance: await startInstance(index, 0), proxy});
	}

	const bornAtMs = Date.now();
	const register = (index: number, state: 'ready' | 'draining'): void => {
		const {life} = all[index]!;
		store.put(`servers/${instanceIdOf(index, life)}`, {
			address: `${addressOf(index)}:${instancePort}`,
			born: bornAtMs + life,
			info: {
				service: 'soak', zone: dataCentres[index % dataCentres.length], version: '1', slots,
			},
			status: {state, sequence: 1, warmup_left_ms: 0},
		});
	};

	for (const index of all.keys()) {
		register(index, 'ready');
	}

	const callers = createCallers(addresses, dataCentres, random);
	const fleet = startGateways({
		file, addresses, dataCentreOf: number => dataCentres[number % dataCentres.length]!, storeAddress,
	});
	return {
		options, store, storeProxy, gateways: fleet, callers, slots: all, runs, startInstance, register, version: 0, addresses,
	};
};

const startMs = 3000;

/** Plays one seed to its end. */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
	const stage = await prepare(options);
	const {gateways, callers, runs, addresses} = stage;
	const steps = drawSchedule(createRandom(options.seed), options);
	try {
		configure(stage);
		await delay(startMs);
		const originMs = performance.now();
		const calmFromMs = Date.now() + options.durationMs - (options.calmMs / 2);
		const load = sendLoad(stage, createRandom(options.seed + 2).next, originMs + options.durationMs);
		for (const {atMs, action} of steps) {
			await delay(Math.max(0, originMs + atMs - performance.now()));
			act(stage, action);
		}

		await load;
		await delay(configApplyMs / 2);
		const calls = callers.calls();
		const flaws = [
			...judgeRuns(calls, runs),
			...judgeLost(calls, runs, killedAddressesOf(steps, addresses)),
			...judgeCalm(calls, calmFromMs),
			...await judgeConfig(stage, addresses),
			...gateways.ownEnds(),
		];
		return {
			seed: options.seed, flaws, steps, logs: gateways.logs(), calls: calls.length, served: calls.filter(({end}) => end.type === 'answered' && end.statusCode === 200).length,
		};
	} finally {
		callers.close();
		await gateways.stop();
		stage.storeProxy.close();
		stage.store.close();
		for (const {instance, proxy} of stage.slots) {
			proxy.close();
			instance.close();
		}
	}
};
