/** Replays a load against the dispatchers of several gateways in virtual time; they exchange reports of limited size. */

import {setImmediate} from 'node:timers/promises';
import {
	createCatalogue, createManualClock, createRandom, type AttemptResult, type Catalogue, type DispatchPlacement, type InstanceEntry,
} from '@egretwing/core';
import {createLogger} from '@egretwing/node';
import {maxConnectFailures, tickIntervalMs} from '../../src/constants.ts';
import {createDispatchers, type Dispatchers, type PlacementResult} from '../../src/dispatchers.ts';
import {createAttempts} from './fleet-attempts.ts';
import {
	createBehaviour, createInstances, drawFor, warmupMs, type FleetInstance,
} from './fleet-instances.ts';
import type {FleetLoad} from './fleet-load.ts';
import {findIgnoredNotices, type SaidNotice} from './fleet-notices.ts';
import {findFloorWindows, type FloorWindow} from './floor-windows.ts';
import {openBarrier} from './errors.ts';

const service = 'seatledger';

/** Latency of a report between gateways. */
const reportDelayMs = 2;

/** Time after which a gateway learns of a change of the registered instances. */
const catalogueDelayMs = 100;

const maxAttempts = 3;

/** Result of a replay. */
export type FleetOutcome = {
	readonly asked: number;
	readonly unserved: number;
	readonly windows: readonly FloorWindow[];
	/** Requests that a gateway sent against what the instance had told it. */
	readonly ignoredNotices: readonly string[];
};

type Request = {
	readonly id: string;
	readonly atMs: number;
	readonly finalAtMs: number;
	readonly attemptedIds: readonly string[];
	readonly record: {readonly atMs: number; isServed: boolean};
	/** Number of requests that its caller sent before for the same work. */
	readonly repeats: number;
};

type Gateway = {
	readonly id: string;
	readonly catalogue: Catalogue;
	readonly dispatchers: Dispatchers;
};

const createSchedule = () => {
	const events: Array<{readonly atMs: number; readonly run: () => void}> = [];
	return {
		at(atMs: number, run: () => void): void {
			const place = events.findLastIndex(event => event.atMs <= atMs);
			events.splice(place + 1, 0, {atMs, run});
		},
		next: () => events.shift(),
	};
};

const runOf = (instanceId: string, index: number) => ({
	instanceId, address: '10.0.0.1', port: index + 1, bornAtMs: 1,
});

/** Entries of an instance in the store over time. */
const entriesOf = ({slots, notices, seed}: FleetLoad, instance: FleetInstance, index: number): ReadonlyArray<{readonly atMs: number; readonly entry: InstanceEntry}> => {
	const {
		instanceId, dataCentre, joinsAtMs, leavesAtMs, unlistedAtMs, endsAtMs,
	} = instance;
	const isUnregistered = drawFor(instanceId, 'unregistered', seed) < (notices?.unregisteredShare ?? 0);
	const isFirst = joinsAtMs === Number.NEGATIVE_INFINITY;
	const record = {
		...runOf(instanceId, index), service, dataCentre, slots, state: 'ready' as const, warmupLeftMs: isFirst ? 0 : warmupMs,
	};
	const revision = 3 * index;
	return [
		{atMs: isFirst ? 0 : joinsAtMs, entry: {instanceId, revision: revision + 1, record}},
		isUnregistered
			? {atMs: endsAtMs, entry: {instanceId, revision: revision + 2, record: null}}
			: {atMs: leavesAtMs, entry: {instanceId, revision: revision + 2, record: {...record, state: 'draining' as const}}},
		{atMs: unlistedAtMs, entry: {instanceId, revision: revision + 3, record: null}},
	].filter(({atMs}) => Number.isFinite(atMs));
};

/** Replays the load. The gateways differ by their random source and by the instances that they can reach. */
export const replayFleet = async (load: FleetLoad): Promise<FleetOutcome> => {
	const random = createRandom(load.seed);
	const clock = createManualClock();
	const schedule = createSchedule();
	const instances = createInstances(service, load);
	const behaviour = createBehaviour(load);
	const attempts = createAttempts(load, instances, behaviour, random);
	const asked: Array<Request['record']> = [];
	const said: SaidNotice[] = [];
	const instanceIndexes = new Map(instances.map(({instanceId}, index) => [instanceId, index]));
	const lostAtMs = load.lostAtMs ?? Number.POSITIVE_INFINITY;

	const createGateway = (dataCentre: string, index: number): Gateway => {
		const id = `gateway-${index}`;
		const catalogue = createCatalogue();
		const dispatchers = createDispatchers({
			dataCentre,
			catalogue,
			random: createRandom((load.seed * 1000) + index),
			nowMs: clock.nowMs,
			logger: createLogger('test', id, 0),
			errors: openBarrier,
			isUnplaced: () => false,
			onState: () => undefined,
			sendReport(name, report) {
				schedule.at(clock.nowMs() + reportDelayMs, () => {
					for (const peer of gateways) {
						if (peer.id !== id) {
							peer.dispatchers.receiveReport(name, id, report);
						}
					}
				});
			},
		});
		return {id, catalogue, dispatchers};
	};

	const gateways: readonly Gateway[] = Object.entries(load.gateways)
		.flatMap(([dataCentre, count]) => Array.from({length: count}, () => dataCentre))
		.map((dataCentre, index) => createGateway(dataCentre, index));

	const noticedAtMs = ({id}: Gateway, atMs: number): number => {
		const {stale} = load;
		const isStale = stale !== undefined && drawFor(id, 'stale', load.seed) < stale.gatewayShare && atMs >= stale.fromMs && atMs < stale.untilMs;
		return isStale ? stale.untilMs : atMs;
	};

	const scheduleRegistrations = (): void => {
		for (const [index, instance] of instances.entries()) {
			for (const {atMs, entry} of entriesOf(load, instance, index)) {
				for (const gateway of gateways) {
					const merge = (): void => {
						gateway.catalogue.mergeInstances([entry], entry.revision, clock.nowMs());
					};

					if (atMs === 0) {
						merge();
					} else {
						schedule.at(noticedAtMs(gateway, atMs) + catalogueDelayMs, merge);
					}
				}
			}
		}
	};

	const finishRequest = (gateway: Gateway, request: Request, isServed: boolean): void => {
		request.record.isServed = isServed;
		gateway.dispatchers.recordOutcome(service, isServed);
	};

	/** Ends a request that did not run; its caller may repeat it at once. */
	const finishNotRun = (gateway: Gateway, request: Request): void => {
		finishRequest(gateway, request, false);
		const {repeating} = load;
		const nowMs = clock.nowMs();
		if (repeating !== undefined && nowMs >= repeating.fromMs && nowMs < repeating.untilMs
			&& request.repeats < repeating.times && drawFor(request.id, 'repeating', load.seed) < repeating.requestShare) {
			sendRequest(request.repeats + 1, request.finalAtMs);
		}
	};

	/** Applies what the answer of an instance says of it. */
	const notice = (gateway: Gateway, instanceId: string, result: AttemptResult): void => {
		const {notices} = load;
		const isAnswered = result === 'good' || result === 'server-error' || result === 'shed';
		if (notices === undefined || !isAnswered) {
			return;
		}

		const nowMs = clock.nowMs();
		const index = instanceIndexes.get(instanceId)!;
		const run = runOf(instanceId, index);
		if (nowMs >= instances[index]!.leavesAtMs) {
			said.push({instanceId, gatewayId: gateway.id, atMs: nowMs});
			if (gateway.catalogue.markLeaving(run, nowMs)) {
				schedule.at(nowMs + reportDelayMs, () => {
					for (const peer of gateways) {
						peer.catalogue.markLeaving(run, clock.nowMs());
					}
				});
			}
		}

		if (result === 'shed') {
			said.push({
				instanceId, gatewayId: gateway.id, atMs: nowMs, pauseMs: notices.pauseMs,
			});
			gateway.dispatchers.pause(service, run, notices.pauseMs);
		}
	};

	const end = (gateway: Gateway, request: Request, placement: DispatchPlacement, result: AttemptResult): void => {
		const {instanceId} = placement;
		notice(gateway, instanceId, result);
		gateway.dispatchers.finish(service, placement, result);
		attempts.recordEnd(instanceId, gateway.id, result, clock.nowMs());
		const attemptedIds = [...request.attemptedIds, instanceId];
		const isNotRun = result === 'unreachable' || result === 'shed';
		if (!isNotRun) {
			finishRequest(gateway, request, result === 'good');
			return;
		}

		if (attemptedIds.length < Math.min(maxAttempts, maxConnectFailures) && clock.nowMs() + (load.serviceMs / 2) < request.finalAtMs) {
			void serve(gateway, {...request, attemptedIds});
			return;
		}

		finishNotRun(gateway, request);
	};

	const start = (gateway: Gateway, request: Request, placed: PlacementResult): void => {
		if (placed.type !== 'send') {
			finishNotRun(gateway, request);
			return;
		}

		const {placement} = placed;
		const {atMs, result} = attempts.run(placement.instanceId, gateway.id, clock.nowMs(), request.finalAtMs);
		if (atMs < lostAtMs) {
			schedule.at(atMs, () => {
				end(gateway, request, placement, result);
			});
		}
	};

	const serve = async (gateway: Gateway, request: Request): Promise<void> => {
		const placed = await gateway.dispatchers.place(service, {
			requestId: request.id,
			rank: 0,
			isIdempotent: false,
			isReturning: request.attemptedIds.length > 0,
			bodyBytes: 0,
			objectiveAtMs: request.atMs + load.objectiveMs,
			finalAtMs: request.finalAtMs,
			attemptedIds: request.attemptedIds,
		}, new AbortController().signal);
		start(gateway, request, placed);
	};

	const sendRequest = (repeats: number, finalAtMs: number): void => {
		const atMs = clock.nowMs();
		const gateway = gateways[Math.floor(random.next() * gateways.length)]!;
		const record = {atMs, isServed: false};
		asked.push(record);
		void serve(gateway, {
			id: String(asked.length), atMs, finalAtMs, attemptedIds: [], record, repeats,
		});
	};

	const rateAt = (nowMs: number): number => {
		const {burst, perSecond} = load;
		return perSecond * (burst !== undefined && nowMs >= burst.fromMs && nowMs < burst.untilMs ? burst.factor : 1);
	};

	const scheduleArrivals = (): void => {
		const nowMs = clock.nowMs();
		sendRequest(0, nowMs + load.timeoutMs);
		const nextMs = nowMs - (Math.log(1 - random.next()) * 1000 / rateAt(nowMs));
		if (nextMs < load.lengthMs) {
			schedule.at(nextMs, scheduleArrivals);
		}
	};

	const tick = (gateway: Gateway): void => {
		gateway.catalogue.tick(clock.nowMs());
		gateway.dispatchers.tick();
		if (clock.nowMs() < load.lengthMs + load.timeoutMs) {
			schedule.at(clock.nowMs() + tickIntervalMs, () => {
				tick(gateway);
			});
		}
	};

	scheduleRegistrations();
	schedule.at(0, scheduleArrivals);
	for (const [index, gateway] of gateways.entries()) {
		schedule.at(index * tickIntervalMs / gateways.length, () => {
			tick(gateway);
		});
	}

	for (let event = schedule.next(); event !== undefined; event = schedule.next()) {
		clock.advanceMs(event.atMs - clock.nowMs());
		event.run();
		await setImmediate();
	}

	return {
		asked: asked.length,
		unserved: asked.filter(({isServed}) => !isServed).length,
		windows: findFloorWindows(load.lengthMs, asked, attempts.logs(), behaviour),
		ignoredNotices: findIgnoredNotices(said, attempts.logs()),
	};
};
