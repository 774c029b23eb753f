/** Simulates a load against dispatch decisions in virtual time, with arrivals, service times and failing instances from a seed. */

import {
	createRandom, type DispatchDecision, type DispatchInstance, type DispatchRequest, type Random,
} from '@egretwing/core';

/** The part of a dispatcher that the simulation uses. */
export type Policy = {
	readonly submit: (request: DispatchRequest, nowMs: number) => DispatchDecision;
	readonly finish: (placement: {readonly instanceId: string; readonly startedAtMs: number; readonly isTrial: boolean}, result: 'good' | 'broken', nowMs: number) => unknown;
	readonly poll: (nowMs: number) => ReadonlyArray<{readonly request: DispatchRequest; readonly decision: DispatchDecision}>;
};

/** A load to replay. */
export type Load = {
	readonly seed: number;
	readonly lengthMs: number;
	readonly instances: readonly DispatchInstance[];
	readonly serviceMs: number;
	readonly perSecond: (nowMs: number) => number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Attempts for each request; more than one makes the requests idempotent. */
	readonly maxAttempts?: number;
	/** Whether the instance breaks the connection of a request that starts now. */
	readonly breaks: (instanceId: string, nowMs: number, random: Random) => boolean;
};

/** How the requests ended. */
export type Outcome = {
	readonly asked: number;
	readonly inObjective: number;
	readonly late: number;
	readonly rejected: number;
	readonly broken: number;
	/** Highest number of requests in flight at one instance. */
	readonly mostInFlight: number;
	/** Longest wait before a rejection. */
	readonly longestRejectionMs: number;
};

type Event = {readonly atMs: number; readonly run: () => void};

/** Replays the load and counts how its requests ended. */
export const replay = (policy: Policy, load: Load): Outcome => {
	const random = createRandom(load.seed);
	const events: Event[] = [];
	const arrivedAtMs = new Map<DispatchRequest, number>();
	const inFlight = new Map<string, number>();
	const counts = {
		asked: 0, inObjective: 0, late: 0, rejected: 0, broken: 0, mostInFlight: 0, longestRejectionMs: 0,
	};
	let nowMs = 0;

	const at = (atMs: number, run: () => void): void => {
		const position = events.findIndex(event => event.atMs > atMs);
		events.splice(position === -1 ? events.length : position, 0, {atMs, run});
	};

	const exponential = (meanMs: number): number => -Math.log(1 - random.next()) * meanMs;

	const apply = (request: DispatchRequest, decision: DispatchDecision): void => {
		if (decision.type === 'wait') {
			return;
		}

		if (decision.type === 'reject') {
			counts.rejected++;
			counts.longestRejectionMs = Math.max(counts.longestRejectionMs, nowMs - arrivedAtMs.get(request)!);
			return;
		}

		const {placement} = decision;
		const {instanceId} = placement;
		const isBroken = load.breaks(instanceId, nowMs, random);
		const workMs = isBroken ? 2 : load.serviceMs * (0.5 + random.next());
		inFlight.set(instanceId, (inFlight.get(instanceId) ?? 0) + 1);
		counts.mostInFlight = Math.max(counts.mostInFlight, inFlight.get(instanceId)!);
		at(nowMs + workMs, () => {
			inFlight.set(instanceId, inFlight.get(instanceId)! - 1);
			const tookMs = nowMs - arrivedAtMs.get(request)!;
			let isRetried = false;
			if (isBroken && request.attemptedIds.length + 1 < (load.maxAttempts ?? 1)) {
				isRetried = true;
			} else if (isBroken) {
				counts.broken++;
			} else if (tookMs <= load.objectiveMs) {
				counts.inObjective++;
			} else {
				counts.late++;
			}

			policy.finish(placement, isBroken ? 'broken' : 'good', nowMs);
			if (isRetried) {
				const next = {...request, attemptedIds: [...request.attemptedIds, instanceId], isReturning: true};
				arrivedAtMs.set(next, arrivedAtMs.get(request)!);
				apply(next, policy.submit(next, nowMs));
			}

			applyDeferred();
		});
	};

	const applyDeferred = (): void => {
		for (const {request, decision} of policy.poll(nowMs)) {
			apply(request, decision);
		}
	};

	const arrive = (): void => {
		const request: DispatchRequest = {
			requestId: String(counts.asked),
			rank: 0,
			isIdempotent: (load.maxAttempts ?? 1) > 1,
			isReturning: false,
			bodyBytes: 0,
			objectiveAtMs: nowMs + load.objectiveMs,
			finalAtMs: nowMs + load.timeoutMs,
			attemptedIds: [],
		};
		counts.asked++;
		arrivedAtMs.set(request, nowMs);
		apply(request, policy.submit(request, nowMs));
		const nextMs = nowMs + exponential(1000 / load.perSecond(nowMs));
		if (nextMs < load.lengthMs) {
			at(nextMs, arrive);
		}
	};

	const tick = (): void => {
		applyDeferred();
		if (nowMs < load.lengthMs + load.timeoutMs) {
			at(nowMs + 50, tick);
		}
	};

	at(0, arrive);
	at(0, tick);
	for (let event = events.shift(); event !== undefined; event = events.shift()) {
		nowMs = event.atMs;
		event.run();
	}

	return counts;
};

/** The baseline: power of two random choices, without memory or queue. */
export const createTwoChoices = (instances: readonly DispatchInstance[], seed: number): Policy => {
	const random = createRandom(seed);
	const inFlight = new Map<string, number>();
	const pick = (): string => instances[Math.floor(random.next() * instances.length)]!.instanceId;

	return {
		submit(_request, nowMs) {
			const [first, second] = [pick(), pick()];
			const instanceId = (inFlight.get(first) ?? 0) <= (inFlight.get(second) ?? 0) ? first : second;
			inFlight.set(instanceId, (inFlight.get(instanceId) ?? 0) + 1);
			return {type: 'send', placement: {instanceId, startedAtMs: nowMs, isTrial: false}, waitedMs: 0};
		},
		finish({instanceId}) {
			inFlight.set(instanceId, inFlight.get(instanceId)! - 1);
		},
		poll: () => [],
	};
};

/** Instances of one service, spread over data centres. */
export const createInstances = (count: number, slots: number, dataCentres: readonly string[] = ['a']): readonly DispatchInstance[] =>
	Array.from({length: count}, (_, index) => ({
		instanceId: `i-${index}`, dataCentre: dataCentres[index % dataCentres.length]!, slots, bornAtMs: 1, knownSinceMs: -60_000, warmAtMs: -60_000,
	}));
