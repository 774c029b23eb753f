/** Runs a scenario on real processes. */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {EntryHost, Host} from '@egretwing/core';
import type {Run, InstanceCounts} from '@egretwing/standin';
import {
	createEntryHost, fetchJson, startFleet, startHost, type Fleet, type FleetOptions,
} from '../../../scripts/lib/fleet.ts';
import type {Action, RouteLine, Scenario} from '../language/types.ts';
import {createCallers, type Callers} from './callers.ts';
import {hostIdOf} from './check-expectation.ts';
import {startMonitor} from './monitor.ts';
import type {
	Exit, Observations, Transfer, Work,
} from './observations.ts';
import {transfer} from './transfers.ts';

const region = 'region-1';
const backendPort = 9000;
const insistTimeoutMs = 2000;
const settleMs = 500;

const dataCentreOf = (index: number, count: number): string => `dc-${(index % count) + 1}`;

const routeRecord = ({pathPrefix, service, semantics}: RouteLine, revision: number) => ({
	kind: 'route', schemaVersion: 2, name: `route${pathPrefix.replaceAll('/', '-')}`, revision, pathPrefix, service, semantics,
});

/** Creates the options of the fleet; `network` is the address prefix of this run, such as `127.64.1`. */
const createFleetOptions = ({
	hosts, dataCentres, services, routes,
}: Scenario, network: string): FleetOptions => ({
	hosts: Array.from({length: hosts}, (_, index) =>
		createEntryHost(hostIdOf(index + 1), `${network}.${index + 1}`, region, dataCentreOf(index, dataCentres))),
	instances: services.flatMap(({name, instances, slots, serviceTimeMs}, serviceIndex) => Array.from({length: instances}, (_, index) => ({
		hostId: `${name}-${index + 1}`,
		service: name,
		address: `${network}.${100 + (serviceIndex * 30) + index}`,
		port: backendPort,
		slots,
		serviceTimeMs,
		region,
		dataCentre: dataCentreOf(index, dataCentres),
	}))),
	records: [
		...services.map(({name, slots, record}) => ({
			kind: 'service', schemaVersion: 2, name, revision: 1, slotsPerInstance: slots, notRunStatusCodes: [503], workspaceShare: 1, ...record,
		})),
		...routes.map(route => routeRecord(route, 1)),
	],
});

type Counts = {
	readonly position: number;
	readonly sequence: number;
	readonly recordReads: number;
	readonly hostReads: number;
};

type RunContext = {
	readonly scenario: Scenario;
	readonly options: FleetOptions;
	readonly fleet: Fleet;
	readonly callers: Callers;
	readonly startCounts: Counts;
	readonly states: Map<string, 'leaving'>;
	readonly works: Array<Promise<readonly Work[]>>;
	readonly transfers: Array<Promise<Transfer>>;
	readonly publishedAtMs: Map<number, number>;
	readonly faultAtMs: Map<string, number>;
	readonly exits: Exit[];
};

const post = async (url: string, body: unknown, method = 'POST'): Promise<void> => {
	const answer = await fetchJson<{readonly error?: string}>(url, {method, body: JSON.stringify(body)});
	if (answer.error !== undefined) {
		throw new Error(`${url}: ${answer.error}`);
	}
};

const serviceOf = ({routes}: Scenario, path: string): string => routes.find(({pathPrefix}) => path.startsWith(pathPrefix))?.service ?? '';

const watchExits = ({fleet, exits}: RunContext, host: EntryHost): void => {
	for (const part of ['agent', 'entry']) {
		const name = `${part}-${host.hostId}`;
		fleet.processes.child(name)?.once('exit', (code, signal) => {
			exits.push({
				process: name, atMs: Date.now(), code: code ?? undefined, signal: signal ?? undefined,
			});
		});
	}
};

const publishHosts = async ({options, fleet, states}: RunContext): Promise<void> => {
	const hosts: readonly Host[] = [
		...options.hosts,
		...options.instances.map(({hostId, service, address, port, dataCentre = ''}) => ({
			role: 'backend' as const, hostId, service, address, port, region, dataCentre, state: 'live' as const,
		})),
	];
	await post(`${fleet.platformOperatorUrl}/v1/hosts`, hosts.map(host => ({...host, state: states.get(host.hostId) ?? host.state})), 'PUT');
};

const signalHost = ({fleet}: RunContext, {signal, host, part}: Extract<Action, {type: 'signal'}>): void => {
	const parts = part === 'both' ? ['agent', 'entry'] : [part];
	for (const name of parts) {
		fleet.processes.child(`${name}-${hostIdOf(host)}`)?.kill(signal);
	}
};

const injectFault = async (context: RunContext, {targets, fault, cutFrom}: Extract<Action, {type: 'fault'}>): Promise<void> => {
	const {options, fleet, faultAtMs} = context;
	const instances = options.instances.filter(({hostId, service}) => targets.includes(hostId) || targets.includes(service)).map(({hostId}) => hostId);
	const sources = cutFrom.map(host => options.hosts[host - 1]!.address);
	await post(`${fleet.backendOperatorUrl}/v1/fault`, {instances, fault: fault.type === 'cut' ? {...fault, sources} : fault});
	for (const instance of instances) {
		if (!faultAtMs.has(instance)) {
			faultAtMs.set(instance, Date.now());
		}
	}
};

const publish = async ({fleet, publishedAtMs}: RunContext, record: {readonly revision: number}): Promise<void> => {
	await post(`${fleet.platformOperatorUrl}/v1/records`, [record], 'PUT');
	publishedAtMs.set(record.revision, Date.now());
};

const executeAction = async (context: RunContext, action: Action, index: number): Promise<void> => {
	const {
		scenario, options, fleet, callers, states,
	} = context;
	switch (action.type) {
		case 'signal': {
			signalHost(context, action);
			return;
		}

		case 'start': {
			const host = options.hosts[action.host - 1]!;
			startHost(fleet.processes, host, fleet.platformUrl);
			watchExits(context, host);
			return;
		}

		case 'fault': {
			await injectFault(context, action);
			return;
		}

		case 'platform': {
			await post(`${fleet.platformOperatorUrl}/v1/fault`, action.fault);
			return;
		}

		case 'stale-platform': {
			const {position, sequence} = action.asOf === 'start' ? context.startCounts : await fetchJson<Counts>(`${fleet.platformOperatorUrl}/v1/counts`);
			await post(`${fleet.platformOperatorUrl}/v1/fault`, {type: 'stale', position, sequence});
			return;
		}

		case 'publish': {
			await publish(context, routeRecord(action.route, action.revision));
			return;
		}

		case 'publish-bad': {
			await publish(context, {...routeRecord(action.route, action.revision), semantics: 'sometimes'} as {readonly revision: number});
			return;
		}

		case 'leave-instance': {
			states.set(action.hostId, 'leaving');
			await publishHosts(context);
			return;
		}

		case 'leave-host': {
			states.set(hostIdOf(action.host), 'leaving');
			await publishHosts(context);
			return;
		}

		case 'transfer': {
			context.transfers.push(transfer(callers, {...action, service: serviceOf(scenario, action.path)}, index));
			return;
		}

		case 'insist': {
			const work = callers.insist({
				method: action.method, path: action.path, keys: 'none', resend: false, timeoutMs: insistTimeoutMs, service: serviceOf(scenario, action.path), id: `insist-${index}`, index,
			}, action.times);
			context.works.push(work.then(done => [done]));
			return;
		}

		case 'send-everywhere': {
			const service = serviceOf(scenario, action.path);
			context.works.push(Promise.all(Array.from({length: action.times}, async (_, number) => callers.sendEverywhere({
				...action, resend: false, timeoutMs: insistTimeoutMs, service, id: `everywhere-${index}-${number}`, index: number,
			}))));
		}
	}
};

const executeScenario = async (context: RunContext): Promise<Observations> => {
	const {scenario, options, fleet, callers} = context;
	const monitor = startMonitor(options.hosts, scenario.services.map(({name}) => name));
	const originMs = performance.now();
	const startedAtMs = Date.now();
	const untilMs = originMs + scenario.durationMs;
	for (const [index, load] of scenario.loads.entries()) {
		const name = `${load.method.toLowerCase()}${load.path.replaceAll('/', '-')}-${index + 1}`;
		context.works.push(callers.sendLoad({...load, name, service: serviceOf(scenario, load.path)}, originMs, untilMs));
	}

	for (const [index, {atMs, action}] of scenario.steps.entries()) {
		await delay(Math.max(0, originMs + atMs - performance.now()));
		await executeAction(context, action, index);
	}

	await delay(Math.max(0, untilMs - performance.now()));
	const works = await Promise.all(context.works);
	const transfers = await Promise.all(context.transfers);
	await delay(settleMs);
	const samples = await monitor.stop();
	const {runs, instances} = await fetchJson<{
		readonly runs: readonly Run[]; readonly instances: Readonly<Record<string, InstanceCounts>>;
	}>(`${fleet.backendOperatorUrl}/v1/runs`);
	const {recordReads, hostReads} = await fetchJson<Counts>(`${fleet.platformOperatorUrl}/v1/counts`);
	return {
		startedAtMs,
		works: works.flat(),
		transfers,
		samples,
		exits: [...context.exits],
		runs,
		instances,
		publishedAtMs: context.publishedAtMs,
		faultAtMs: context.faultAtMs,
		platformReads: recordReads + hostReads,
	};
};

/** Starts the fleet of a scenario, runs the scenario, stops every process and returns the observations. */
export const runScenario = async (scenario: Scenario, network: string): Promise<Observations> => {
	const options = createFleetOptions(scenario, network);
	const fleet = await startFleet(options);
	const [first, ...others] = options.hosts.map(({address, locatePort}) => ({address, port: locatePort}));
	const callers = createCallers([first!, ...others]);
	try {
		const startCounts = await fetchJson<Counts>(`${fleet.platformOperatorUrl}/v1/counts`);
		const context: RunContext = {
			scenario, options, fleet, callers, startCounts, states: new Map(), works: [], transfers: [], publishedAtMs: new Map(), faultAtMs: new Map(), exits: [],
		};
		for (const host of options.hosts) {
			watchExits(context, host);
		}

		return await executeScenario(context);
	} finally {
		await callers.close();
		await fleet.processes.stop();
	}
};
