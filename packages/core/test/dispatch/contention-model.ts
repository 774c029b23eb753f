/** Replays requests of several kinds and workspaces at gateways that share the instances of one service, in virtual time. */

import {
	createDispatcher, createRandom, type DispatchDecision, type DispatchInstance, type DispatchRequest, type Dispatcher,
} from '@egretwing/core';

/** Requests of one kind from one workspace. */
export type Source = {
	readonly name: string;
	readonly workspace?: string;
	readonly rank: number;
	readonly kind?: string;
	readonly isIdempotent?: boolean;
	readonly perSecond: (nowMs: number) => number;
	readonly serviceMs: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
};

/** A load on one service. */
export type ContentionLoad = {
	readonly seed: number;
	readonly lengthMs: number;
	readonly gateways: number;
	readonly instances: readonly DispatchInstance[];
	readonly sources: readonly Source[];
	/** Factor on the service time of an instance. */
	readonly slowness?: (instanceId: string, nowMs: number) => number;
	/** Requests that arrive earlier are not counted. */
	readonly countFromMs?: number;
	/** Requests that arrive later are not counted. */
	readonly countUntilMs?: number;
};

/** How the requests of one source ended. */
export type SourceOutcome = {
	asked: number;
	inTime: number;
	late: number;
	refused: number;
	/** Longest time before a refusal. */
	longestRefusalMs: number;
	totalWaitMs: number;
};

type SourceRequest = DispatchRequest & {readonly source: Source; readonly arrivedAtMs: number};

type Event = {readonly atMs: number; readonly run: () => void};

const reportIntervalMs = 250;
const reportDelayMs = 5;
const maxAttempts = 3;

/** Replays the load and counts the ends of requests by the name of their source. */
export const replayContention = (load: ContentionLoad): ReadonlyMap<string, Readonly<SourceOutcome>> => {
	const {
		countFromMs = 0, countUntilMs = load.lengthMs, slowness = () => 1,
	} = load;
	const random = createRandom(load.seed);
	const events: Event[] = [];
	const inFlight = new Map<string, number>();
	const slots = new Map(load.instances.map(({instanceId, slots}) => [instanceId, slots]));
	const outcomes = new Map<string, SourceOutcome>();
	let nowMs = 0;

	const at = (atMs: number, run: () => void): void => {
		const position = events.findLastIndex(event => event.atMs <= atMs);
		events.splice(position + 1, 0, {atMs, run});
	};

	const dispatchers = Array.from({length: load.gateways}, (_, index) => {
		const dispatcher = createDispatcher<SourceRequest>('a', createRandom((load.seed * 100) + index));
		dispatcher.setInstances(load.instances);
		return dispatcher;
	});

	const outcomeOf = ({source: {name}}: SourceRequest): SourceOutcome => {
		const outcome = outcomes.get(name) ?? {
			asked: 0, inTime: 0, late: 0, refused: 0, longestRefusalMs: 0, totalWaitMs: 0,
		};
		outcomes.set(name, outcome);
		return outcome;
	};

	const end = (request: SourceRequest, dispatcher: Dispatcher<SourceRequest>, isServed: boolean): void => {
		dispatcher.recordOutcome(isServed, nowMs);
		const {arrivedAtMs} = request;
		if (arrivedAtMs < countFromMs || arrivedAtMs > countUntilMs) {
			return;
		}

		const outcome = outcomeOf(request);
		const tookMs = nowMs - arrivedAtMs;
		outcome.asked++;
		if (!isServed) {
			outcome.refused++;
			outcome.longestRefusalMs = Math.max(outcome.longestRefusalMs, tookMs);
		} else if (nowMs <= request.objectiveAtMs) {
			outcome.inTime++;
		} else {
			outcome.late++;
		}
	};

	const apply = (request: SourceRequest, dispatcher: Dispatcher<SourceRequest>, decision: DispatchDecision): void => {
		if (decision.type === 'wait') {
			return;
		}

		if (decision.type === 'reject') {
			end(request, dispatcher, false);
			return;
		}

		const {placement} = decision;
		const {instanceId} = placement;
		const busy = inFlight.get(instanceId) ?? 0;
		const isShed = busy >= slots.get(instanceId)!;
		inFlight.set(instanceId, busy + Number(!isShed));
		if (request.arrivedAtMs >= countFromMs) {
			outcomeOf(request).totalWaitMs += decision.waitedMs;
		}

		at(nowMs + (isShed ? 2 : request.source.serviceMs * slowness(instanceId, nowMs) * (0.5 + random.next())), () => {
			inFlight.set(instanceId, inFlight.get(instanceId)! - Number(!isShed));
			dispatcher.finish(placement, isShed ? 'shed' : 'good', nowMs);
			const attemptedIds = [...request.attemptedIds, instanceId];
			if (isShed && attemptedIds.length < maxAttempts) {
				const next = {...request, attemptedIds, isReturning: true};
				apply(next, dispatcher, dispatcher.submit(next, nowMs));
			} else {
				end(request, dispatcher, !isShed);
			}

			settle(dispatcher);
		});
	};

	const settle = (dispatcher: Dispatcher<SourceRequest>): void => {
		for (const {request, decision} of dispatcher.poll(nowMs)) {
			apply(request, dispatcher, decision);
		}
	};

	const scheduleArrival = (source: Source): void => {
		const nextMs = nowMs - (Math.log(1 - random.next()) * 1000 / source.perSecond(nowMs));
		if (nextMs >= load.lengthMs) {
			return;
		}

		at(nextMs, () => {
			const dispatcher = dispatchers[Math.floor(random.next() * dispatchers.length)]!;
			const {workspace, rank, kind, isIdempotent = false} = source;
			const request: SourceRequest = {
				requestId: source.name,
				rank,
				...(workspace !== undefined && {workspace}),
				...(kind !== undefined && {kind}),
				isIdempotent,
				isReturning: false,
				bodyBytes: 0,
				objectiveAtMs: nowMs + source.objectiveMs,
				finalAtMs: nowMs + source.timeoutMs,
				attemptedIds: [],
				source,
				arrivedAtMs: nowMs,
			};
			apply(request, dispatcher, dispatcher.submit(request, nowMs));
			scheduleArrival(source);
		});
	};

	const tell = (from: Dispatcher<SourceRequest>, index: number): void => {
		const report = from.report(nowMs);
		at(nowMs + reportDelayMs, () => {
			for (const peer of dispatchers.filter(dispatcher => dispatcher !== from)) {
				peer.receiveReport(String(index), report, nowMs);
				settle(peer);
			}
		});
	};

	const tick = (): void => {
		for (const [index, dispatcher] of dispatchers.entries()) {
			dispatcher.findStalled(nowMs);
			settle(dispatcher);
			tell(dispatcher, index);
		}

		if (nowMs < load.lengthMs + 10_000) {
			at(nowMs + reportIntervalMs, tick);
		}
	};

	for (const source of load.sources) {
		scheduleArrival(source);
	}

	at(0, tick);
	for (let event = events.shift(); event !== undefined; event = events.shift()) {
		nowMs = event.atMs;
		event.run();
	}

	return outcomes;
};
