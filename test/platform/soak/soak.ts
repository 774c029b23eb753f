/**
 * A seeded soak run: gateways as separate processes, callers, instances and a store, with faults injected from outside. What
 * callers and instances observed is checked against the guarantees of the gateway.
 */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@egretwing/core';
import {createCallers, type Call, type Callers} from './callers.ts';
import {
	applyEndsAction, checkListening, hangUp, largestBodyBytes, type EndsContext,
} from './ends.ts';
import {gatewayPorts, startGateways, type SoakGateways} from './gateways.ts';
import {createSoakInstance, type Run, type SoakInstance} from './instances.ts';
import {
	checkNotices, type AppliedAction, type Arrival, type NoticeRecords, type SaidNotice,
} from './notices.ts';
import {createProxy, type Proxy} from './proxy.ts';
import {
	drawSchedule, type SoakAction, type SoakSize, type SoakStep,
} from './schedule.ts';
import {createSoakStore, type SoakStore} from './store.ts';

/** Options of a run. */
export type SoakOptions = SoakSize & {
	readonly seed: number;
	/** Path of the built gateway program. */
	readonly file: string;
	/** First three parts of the loopback addresses. */
	readonly network: string;
	readonly requestsPerSecond: number;
};

/** Result of a run; it passed if `flaws` is empty. */
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
const backendPortOffset = 1000;
const instancePort = 8000;
/** Time before the load in which gateways start. */
const startMs = 3000;
/** Memory of a machine, above which the platform kills a process. */
const memoryMegabytes = 350;
const drainMs = 1500;
/** The same for an instance that says in its answers only that it leaves: longer than gateways may take to heed them. */
const unregisteredDrainMs = 3500;
/** Time after which an acknowledged configuration is in force everywhere, while no fault is active. */
const configApplyMs = 2000;
/** Time after a fault from which gateways are held to what they missed (`contact_ms`). */
const contactMs = 3000;
/**
 * Minimum share of served requests in the calm period: one answer of an instance in a hundred may be late on a busy machine,
 * the rest is margin for the machine.
 */
const calmServedShare = 0.95;
const notRunStatusCodes: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type InstanceSlot = {
	generation: number;
	/** Whether the entry of the instance was removed while it serves on. */
	isUnregistered: boolean;
	instance: SoakInstance;
	readonly proxy: Proxy;
};

type SoakContext = {
	readonly options: SoakOptions;
	readonly store: SoakStore;
	readonly storeProxy: Proxy;
	readonly gateways: SoakGateways;
	readonly callers: Callers;
	readonly slots: InstanceSlot[];
	readonly runs: Run[];
	readonly records: NoticeRecords & {readonly applied: AppliedAction[]};
	readonly startInstance: (index: number, generation: number) => Promise<SoakInstance>;
	readonly register: (index: number, state: 'ready' | 'draining') => void;
	readonly ends: EndsContext;
	/** Faults in progress. */
	readonly pending: Array<Promise<void>>;
	/** Holds `store` while what it lost is being written again. */
	readonly restoring: Set<'store'>;
	version: number;
};

const instanceIdOf = (index: number, generation: number): string => `i-${index}-${generation}`;

const configure = (context: SoakContext): void => {
	context.version++;
	const {version} = context;
	const route = (name: string, prefix: string, type: string) => ({
		name, host: 'soak.example', prefix, route_type: type, timeout_ms: 1200, target_latency_ms: 800, max_attempts: 2, priority: 1, service: 'soak',
	});
	context.store.put('op/config', {
		version: version.toString(16).padStart(8, '0'),
		routes: [
			route('read', '/read/', 'safe'),
			route('write', '/write/', 'unsafe'),
			route('upload', '/upload/', 'upload'),
			...Array.from({length: version}, (_, index) => route(`added-${index + 1}`, `/added-${index + 1}/`, 'safe')),
		],
		services: [{name: 'soak', health_check_path: '/health', max_connections: 400}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: context.options.ends ? largestBodyBytes : 1_000_000, header_timeout_ms: 5000, idle_timeout_ms: 8000,
		},
	});
};

const replace = async (context: SoakContext, index: number): Promise<void> => {
	const slot = context.slots[index]!;
	const {generation} = slot;
	if (slot.isUnregistered) {
		return;
	}

	const isRegistered = (index + generation) % 2 === 0;
	if (isRegistered) {
		context.register(index, 'draining');
	}

	slot.instance.announceLeaving();
	await delay(isRegistered ? drainMs : unregisteredDrainMs);
	// A later replacement of the same instance has already happened.
	if (slot.generation !== generation || slot.isUnregistered) {
		return;
	}

	context.store.remove(`servers/${instanceIdOf(index, generation)}`);
	slot.instance.close();
	slot.generation++;
	slot.instance = await context.startInstance(index, slot.generation);
	context.register(index, 'ready');
};

/** Removes the entry of an instance, which serves on; at most half of them, so that the others can serve. */
const unregister = ({slots: instanceSlots, store}: SoakContext, index: number): void => {
	const slot = instanceSlots[index]!;
	if (instanceSlots.filter(({isUnregistered}) => isUnregistered).length < instanceSlots.length / 2) {
		slot.isUnregistered = true;
		store.remove(`servers/${instanceIdOf(index, slot.generation)}`);
	}
};

/** Brings the store back from an older copy; the operator and the instances write again what it lost. */
const restoreCopy = async ({store, restoring}: SoakContext, ageMs: number, rewriteMs: number): Promise<void> => {
	if (restoring.has('store')) {
		return;
	}

	restoring.add('store');
	const lost = store.restoreCopy(ageMs);
	await Promise.all(lost.map(async (write, index) => {
		await delay(rewriteMs * (index + 1) / lost.length);
		store.rewrite(write);
	}));
	restoring.delete('store');
};

const applyAction = (context: SoakContext, action: SoakAction): void => {
	context.records.applied.push({atMs: Date.now(), action});
	const {
		gateways, store, storeProxy, slots: instanceSlots, options,
	} = context;
	switch (action.type) {
		case 'signal': {
			if (action.signal === 'SIGHUP' && options.ends) {
				context.pending.push(hangUp(context.ends, action.gateway));
				return;
			}

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
			instanceSlots[action.instance]!.instance.setBehaviour(action.behaviour);
			return;
		}

		case 'instance-link': {
			instanceSlots[action.instance]!.proxy.setFault(action.fault);
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

		case 'store-copy': {
			context.pending.push(restoreCopy(context, action.ageMs, action.rewriteMs));
			return;
		}

		case 'configure': {
			configure(context);
			return;
		}

		case 'replace': {
			void replace(context, action.instance);
			return;
		}

		case 'unregister': {
			unregister(context, action.instance);
			return;
		}

		case 'odd-requests':
		case 'early-signal':
		case 'hold-port':
		case 'uploads':
		case 'settings': {
			context.pending.push(applyEndsAction(context.ends, action));
		}
	}
};

/** Finds writes that ran twice or although they were refused as not run, and answers or bodies of other requests. */
export const checkRuns = (calls: readonly Call[], runs: readonly Run[]): readonly string[] => {
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

/** Finds requests that an instance ran and whose connection ended without an answer, at gateways that were never killed. */
export const checkLostAnswers = (calls: readonly Call[], runs: readonly Run[], killedAddresses: ReadonlySet<string>): readonly string[] => {
	const ran = new Set(runs.map(({requestId}) => requestId));
	return calls.flatMap(({requestId, kind, gateway, end}) =>
		end.type === 'closed' && end.detail !== 'deadline of the caller' && ran.has(requestId) && !killedAddresses.has(gateway)
			? [`${kind} ${requestId} ran, and ${gateway} closed the connection without an answer (${end.detail})`]
			: []);
};

/** Finds requests that their callers sent from `fromMs` on, in Unix time, and that reached an instance without an entry. */
export const checkRemovals = (calls: readonly Call[], arrivals: readonly Arrival[], removedIds: ReadonlySet<string>, fromMs: number): readonly string[] => {
	const callById = new Map(calls.map(call => [call.requestId, call]));
	return arrivals.flatMap(({requestId, instanceId}) => {
		const call = callById.get(requestId);
		return call !== undefined && call.sentAtMs >= fromMs && removedIds.has(instanceId)
			? [`${requestId} reached ${instanceId}, which is removed, by ${call.gateway}`]
			: [];
	});
};

/** Checks that requests are served again from `fromMs` on, in Unix time. */
export const checkRecovery = (calls: readonly Call[], fromMs: number): readonly string[] => {
	const calm = calls.filter(({sentAtMs}) => sentAtMs >= fromMs);
	const unserved = calm.filter(({end}) => end.type !== 'answered' || end.statusCode !== 200);
	if (unserved.length <= (1 - calmServedShare) * calm.length) {
		return [];
	}

	const examples = unserved.slice(0, 5).map(({requestId, gateway, end}) => `${requestId} ${gateway} ${JSON.stringify(end)}`);
	return [`${unserved.length} of ${calm.length} requests not served after the faults: ${examples.join('; ')}`];
};

const checkConfig = async ({callers, version}: SoakContext, addresses: readonly string[]): Promise<readonly string[]> => {
	const ends = await Promise.all(addresses.map(async address => ({address, end: await callers.probe(address, `/added-${version}/x`)})));
	return ends.flatMap(({address, end}) => end.type === 'answered' && end.statusCode === 404 ? [`${address} does not know the newest route`] : []);
};

const sendLoad = async ({callers, options}: SoakContext, random: () => number, untilMs: number): Promise<void> => {
	const sent: Array<Promise<void>> = [];
	while (performance.now() < untilMs) {
		const draw = random();
		const kind = draw < 0.5 ? 'read' : (draw < 0.9 ? 'write' : 'upload');
		sent.push(callers.send(kind, `/${kind}/x`));
		await delay(2000 * random() / options.requestsPerSecond);
	}

	await Promise.all(sent);
};

/** Whether an action may kill a gateway: a process that is paused while it shuts down is killed in the end. */
const mayBeKilled = (action: SoakAction): boolean =>
	(action.type === 'signal' && (action.signal === 'SIGKILL' || action.signal === 'SIGSTOP')) || (action.type === 'signal-all' && action.signal === 'SIGKILL');

const killedAddressesOf = (steps: readonly AppliedAction[], addresses: readonly string[]): ReadonlySet<string> => new Set(steps
	.filter(({action}) => mayBeKilled(action))
	.flatMap(({action}) => action.type === 'signal' ? [addresses[action.gateway]!] : addresses));

const prepare = async (options: SoakOptions): Promise<SoakContext & {readonly addresses: readonly string[]}> => {
	const {network, seed, gateways, instances, file} = options;
	const random = createRandom(seed + 1);
	const addresses = Array.from({length: gateways}, (_, number) => `${network}.${number + 1}`);
	const storeAddress = `${network}.100`;
	const store = await createSoakStore(storeAddress, gatewayPorts.store + backendPortOffset, options.eras ? 1 : undefined);
	const storeProxy = await createProxy(storeAddress, gatewayPorts.store, gatewayPorts.store + backendPortOffset);
	const runs: Run[] = [];
	const records: SoakContext['records'] & {readonly arrivals: Arrival[]; readonly notices: SaidNotice[]} = {
		arrivals: [], notices: [], applied: [], addresses,
	};
	const addressOf = (index: number): string => `${network}.${101 + index}`;
	const startInstance = async (index: number, generation: number): Promise<SoakInstance> => createSoakInstance({
		instanceId: instanceIdOf(index, generation), address: addressOf(index), port: instancePort + backendPortOffset, slots, random, runs, arrivals: records.arrivals, notices: records.notices,
	});
	const instanceSlots: InstanceSlot[] = [];
	for (let index = 0; index < instances; index++) {
		const proxy = await createProxy(addressOf(index), instancePort, instancePort + backendPortOffset);
		instanceSlots.push({
			generation: 0, isUnregistered: false, instance: await startInstance(index, 0), proxy,
		});
	}

	const bornAtMs = Date.now();
	const register = (index: number, state: 'ready' | 'draining'): void => {
		const {generation} = instanceSlots[index]!;
		store.put(`servers/${instanceIdOf(index, generation)}`, {
			address: `${addressOf(index)}:${instancePort}`,
			born: bornAtMs + generation,
			info: {
				service: 'soak', zone: dataCentres[index % dataCentres.length], version: '1', slots,
			},
			status: {state, sequence: 1, warmup_left_ms: 0},
		});
	};

	for (const index of instanceSlots.keys()) {
		register(index, 'ready');
	}

	const callers = createCallers(addresses, dataCentres, random);
	const gatewayProcesses = startGateways({
		file, addresses, dataCentreOf: number => dataCentres[number % dataCentres.length]!, storeAddress, ...(options.ends && {memoryMegabytes}),
	});
	const calmAtMs = performance.now() + startMs + options.durationMs - options.calmMs;
	const ends: EndsContext = {
		gateways: gatewayProcesses,
		addresses,
		signal(gateway, signal) {
			records.applied.push({atMs: Date.now(), action: {type: 'signal', gateway, signal}});
			gatewayProcesses.signal(gateway, signal);
		},
		isCalm: () => performance.now() > calmAtMs,
	};
	return {
		options, store, storeProxy, gateways: gatewayProcesses, callers, slots: instanceSlots, runs, records, startInstance, register, version: 0, addresses, ends, pending: [], restoring: new Set(),
	};
};

/** Runs one seed. */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
	const context = await prepare(options);
	const {gateways, callers, runs, addresses} = context;
	const steps = drawSchedule(createRandom(options.seed), options);
	try {
		configure(context);
		await delay(startMs);
		const originMs = performance.now();
		const calmFromMs = Date.now() + options.durationMs - (options.calmMs / 2);
		const lastFaultMs = Date.now() + options.durationMs - options.calmMs;
		const load = sendLoad(context, createRandom(options.seed + 2).next, originMs + options.durationMs);
		for (const {atMs, action} of steps) {
			await delay(Math.max(0, originMs + atMs - performance.now()));
			applyAction(context, action);
		}

		await Promise.all([load, ...context.pending]);
		await delay(configApplyMs / 2);
		const calls = callers.calls();
		const removedIds = new Set(context.slots.flatMap(({isUnregistered, instance}) => isUnregistered ? instance.instanceId : []));
		const flaws = [
			...checkRuns(calls, runs),
			...checkLostAnswers(calls, runs, killedAddressesOf(context.records.applied, addresses)),
			...checkNotices(calls, context.records),
			...checkRemovals(calls, context.records.arrivals, removedIds, lastFaultMs + contactMs),
			...checkRecovery(calls, calmFromMs),
			...await checkConfig(context, addresses),
			...await checkListening(addresses),
			...gateways.unexpectedExits(),
		];
		return {
			seed: options.seed, flaws, steps, logs: gateways.logs(), calls: calls.length, served: calls.filter(({end}) => end.type === 'answered' && end.statusCode === 200).length,
		};
	} finally {
		callers.close();
		await gateways.stop();
		context.storeProxy.close();
		context.store.close();
		for (const {instance, proxy} of context.slots) {
			proxy.close();
			instance.close();
		}
	}
};
