/**
 * Admission of requests to one service at one entry: run now, wait, or refuse.
 *
 * Holds state for requests in flight and waiting only; a workspace without either costs nothing.
 */

import type {Random} from '../random.ts';
import {deadHoldMs} from './constants.ts';
import {createInstanceLoads} from './instances.ts';
import {createLatencyAverage} from './latency.ts';
import {createServiceLimit} from './limit.ts';
import {createFairQueue, type QueueBounds} from './queue.ts';
import {selectInstance, type InstanceView, type Selection} from './selection.ts';
import type {
	AdmissionDecision, AttemptEnd, Candidate, Dispatch, LoadRequest, LoadSettings, Permit, Placement,
} from './types.ts';

/** What one entry decides about the load of one service. */
export type ServiceAdmission<Request extends LoadRequest = LoadRequest> = {
	/** Sets the limits of the service, its instances, and the number of entries that share them. */
	readonly configure: (settings: LoadSettings, candidates: readonly Candidate[], entryCount: number) => void;
	/** Decides about a request; one that waits comes back from `dispatch`. */
	readonly admit: (request: Request, nowMs: number) => AdmissionDecision;
	/**
	 * Gives a permit back. Call `dispatch` afterwards.
	 *
	 * The instance is measured from `sentWholeAtMs`, or else from the start: the time before is its caller's.
	 */
	readonly release: (permit: Permit, end: AttemptEnd, nowMs: number, sentWholeAtMs?: number) => void;
	/** Decides about waiting requests: after a release, a change of the instances, and at `nextDispatchMs`. */
	readonly dispatch: (nowMs: number) => ReadonlyArray<Dispatch<Request>>;
	/** Forgets a waiting request whose caller went away. */
	readonly cancel: (request: Request) => void;
	readonly snapshot: (nowMs: number) => LoadSnapshot;
};

/** Figures for metrics. */
export type LoadSnapshot = {
	readonly queueLength: number;
	readonly inFlight: number;
	readonly inFlightLimit: number;
	readonly borrowedShare: number;
	/** Workspaces for which any state is held. */
	readonly workspaceCount: number;
	/** Time that an answer takes; 0 before the first one. */
	readonly expectedMs: number;
};

/** What the admission asks of others. */
export type ServiceAdmissionDependencies = {
	readonly random: Random;
	/** Where a request with this fingerprint may run. */
	readonly placementOf: (fingerprint: string, nowMs: number) => Placement;
};

const defaultSettings: LoadSettings = {
	slotsPerInstance: 4, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 0.5,
};

/** Creates the admission to one service. */
export const createServiceAdmission = <Request extends LoadRequest = LoadRequest>(
	{random, placementOf}: ServiceAdmissionDependencies,
): ServiceAdmission<Request> => {
	const instances = createInstanceLoads();
	const limit = createServiceLimit();
	const queue = createFairQueue<Request>();
	const latency = createLatencyAverage();
	const inFlightOf = new Map<string, number>();
	let settings = defaultSettings;
	let entryCount = 1;
	let inFlight = 0;
	let displaced: Request[] = [];

	const bounds = (): QueueBounds => ({maxLength: settings.queueLength, maxWaitMs: settings.queueWaitMs});
	const expectedMs = (nowMs: number): number => latency.valueMs(nowMs) ?? 0;

	/** Slots of an instance, within this entry's part of the connections that the instance accepts. */
	const slotsPerInstance = (): number => {
		const connections = Math.floor(settings.connectionsPerInstance / entryCount);
		return Math.max(1, Math.min(settings.slotsPerInstance, connections));
	};

	/** Short enough for a waiting request to outlast it. */
	const holdMs = (): number => Math.min(deadHoldMs, settings.queueWaitMs / 2);

	const currentLimit = (nowMs: number): number =>
		limit.inFlightLimit(instances.usableSlots(slotsPerInstance(), nowMs), entryCount);

	const start = (request: Request, instanceId: string, placement: Placement, nowMs: number): Permit => {
		const permit: Permit = {
			instanceId, workspace: request.workspace, startedAtMs: nowMs, isSuspect: placement.type === 'alone',
		};
		instances.start(permit);
		inFlight++;
		inFlightOf.set(permit.workspace, (inFlightOf.get(permit.workspace) ?? 0) + 1);
		return permit;
	};

	const hasRoom = (nowMs: number): boolean => {
		if (instances.usableInFlight(nowMs) + 1 <= currentLimit(nowMs)) {
			return true;
		}

		limit.observeSaturation();
		return false;
	};

	const currentViews = (nowMs: number): readonly InstanceView[] => instances.views({slotsPerInstance: slotsPerInstance(), holdMs: holdMs()}, nowMs);

	const holdsTooMuch = (workspace: string, nowMs: number): boolean =>
		(inFlightOf.get(workspace) ?? 0) + 1 > Math.max(1, currentLimit(nowMs) * settings.workspaceShare);

	/** Time until a slot comes round to a request of this workspace, by the rate of answers. */
	const expectedWaitMs = (workspace: string, nowMs: number): number => {
		const ahead = Math.min(queue.length(), (queue.lengthOf(workspace) + 1) * (queue.workspaceCount() + 1));
		return ahead * expectedMs(nowMs) / currentLimit(nowMs);
	};

	const enqueue = (request: Request, nowMs: number): AdmissionDecision => {
		if (nowMs + expectedWaitMs(request.workspace, nowMs) + expectedMs(nowMs) > request.deadlineMs) {
			return {type: 'refuse', kind: 'overloaded'};
		}

		const addition = queue.add(request, bounds(), nowMs);
		switch (addition.type) {
			case 'queued': {
				return {type: 'wait'};
			}

			case 'queued-in-place-of': {
				displaced.push(addition.displaced);
				return {type: 'wait'};
			}

			case 'refused': {
				return {type: 'refuse', kind: addition.kind};
			}
		}
	};

	const dispatchSelected = (request: Request, placement: Placement, selection: Selection, nowMs: number): Dispatch<Request> | undefined => {
		switch (selection.type) {
			case 'chosen': {
				return {type: 'run', request, permit: start(request, selection.instanceId, placement, nowMs)};
			}

			case 'refused': {
				return {type: 'refuse', request, kind: selection.kind};
			}

			case 'none': {
				return {type: 'refuse', request, kind: 'no-capacity'};
			}

			case 'busy': {
				return undefined;
			}
		}
	};

	/** The first waiting request that can run, those of workspaces within their share first. */
	const dispatchOne = (nowMs: number): Dispatch<Request> | undefined => {
		if (queue.length() === 0 || !hasRoom(nowMs)) {
			return undefined;
		}

		const views = currentViews(nowMs);
		let dispatched: Dispatch<Request> | undefined;
		const tryDispatch = (request: Request): boolean => {
			const placement = placementOf(request.fingerprint, nowMs);
			dispatched = dispatchSelected(request, placement, selectInstance(request, placement, views, random), nowMs);
			return dispatched !== undefined;
		};

		queue.take(request => !holdsTooMuch(request.workspace, nowMs) && tryDispatch(request));
		if (dispatched === undefined) {
			queue.take(request => holdsTooMuch(request.workspace, nowMs) && tryDispatch(request));
		}

		return dispatched;
	};

	return {
		configure(newSettings, candidates, newEntryCount) {
			settings = newSettings;
			entryCount = Math.max(1, newEntryCount);
			instances.setCandidates(candidates);
		},
		admit(request, nowMs) {
			if (request.deadlineMs <= nowMs) {
				return {type: 'refuse', kind: 'deadline-expired'};
			}

			const placement = placementOf(request.fingerprint, nowMs);
			if (placement.type === 'refused') {
				return {type: 'refuse', kind: placement.kind};
			}

			if (!instances.hasEligible()) {
				return {type: 'refuse', kind: 'no-capacity'};
			}

			const isTurnOfOthers = queue.length() > 0 && holdsTooMuch(request.workspace, nowMs);
			if (isTurnOfOthers || !hasRoom(nowMs)) {
				return enqueue(request, nowMs);
			}

			const selection = selectInstance(request, placement, currentViews(nowMs), random);
			switch (selection.type) {
				case 'chosen': {
					return {type: 'run', permit: start(request, selection.instanceId, placement, nowMs)};
				}

				case 'busy': {
					return enqueue(request, nowMs);
				}

				case 'none': {
					return {type: 'refuse', kind: 'no-capacity'};
				}

				case 'refused': {
					return {type: 'refuse', kind: selection.kind};
				}
			}
		},
		release(permit, end, nowMs, sentWholeAtMs = permit.startedAtMs) {
			instances.finish(permit, {end, latencyMs: nowMs - sentWholeAtMs}, nowMs);
			inFlight--;
			const left = (inFlightOf.get(permit.workspace) ?? 0) - 1;
			if (left > 0) {
				inFlightOf.set(permit.workspace, left);
			} else {
				inFlightOf.delete(permit.workspace);
			}

			if (end === 'shed') {
				limit.observeShed(nowMs);
			}

			if (end === 'answered' || end === 'timed-out') {
				latency.observe(nowMs - permit.startedAtMs, nowMs);
				limit.observeAnswer(nowMs - permit.startedAtMs, nowMs);
			}
		},
		dispatch(nowMs) {
			const dispatches: Array<Dispatch<Request>> = [
				...displaced.map(request => ({type: 'refuse', request, kind: 'workspace-limit'} as const)),
				...queue.expire(bounds(), expectedMs(nowMs), nowMs).map(({item, kind}) => ({type: 'refuse', request: item, kind} as const)),
			];
			displaced = [];
			for (;;) {
				const next = dispatchOne(nowMs);
				if (next === undefined) {
					return dispatches;
				}

				dispatches.push(next);
			}
		},
		cancel(request) {
			queue.remove(request);
			displaced = displaced.filter(other => other !== request);
		},
		snapshot: nowMs => ({
			queueLength: queue.length(),
			inFlight,
			inFlightLimit: currentLimit(nowMs),
			borrowedShare: limit.borrowedShare(),
			workspaceCount: inFlightOf.size + queue.workspaceCount(),
			expectedMs: expectedMs(nowMs),
		}),
	};
};
