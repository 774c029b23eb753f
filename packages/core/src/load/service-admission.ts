/**
 * Admission control for one service at one entry: runs, queues or refuses requests.
 *
 * Holds state only for requests in flight and waiting; a workspace without either takes no memory.
 */

import type {Random} from '../random.ts';
import {failedHoldMs} from './constants.ts';
import {createInstanceLoads} from './instances.ts';
import {createLatencyAverage} from './latency.ts';
import {createServiceLimit} from './limit.ts';
import {createFairQueue, type QueueBounds} from './queue.ts';
import {selectInstance, type InstanceView, type Selection} from './selection.ts';
import type {
	AdmissionDecision, AttemptEnd, Candidate, Dispatch, LoadRequest, LoadSettings, Permit, Placement,
} from './types.ts';

/** Admission control of one entry for one service. */
export type ServiceAdmission<Request extends LoadRequest = LoadRequest> = {
	/** Sets the limits of the service, its instances, and the number of entries that share them. */
	readonly configure: (settings: LoadSettings, candidates: readonly Candidate[], entryCount: number) => void;
	/** Decides about a request; a waiting request is returned later by `dispatch`. */
	readonly admit: (request: Request, nowMs: number) => AdmissionDecision;
	/**
	 * Releases a permit. Call `dispatch` afterwards.
	 *
	 * The latency that the choice of an instance and the limit depend on is measured from `sentWholeAtMs`, or else from the
	 * start: the time before that depends on the caller.
	 */
	readonly release: (permit: Permit, end: AttemptEnd, nowMs: number, sentWholeAtMs?: number) => void;
	/** Decides about waiting requests; to be called after a release, after a change of the instances, and regularly. */
	readonly dispatch: (nowMs: number) => ReadonlyArray<Dispatch<Request>>;
	/** Removes a waiting request whose caller disconnected. */
	readonly cancel: (request: Request) => void;
	readonly snapshot: (nowMs: number) => LoadSnapshot;
};

/** Figures for metrics. */
export type LoadSnapshot = {
	readonly queueLength: number;
	readonly inFlight: number;
	readonly inFlightLimit: number;
	readonly borrowedShare: number;
	/** Number of workspaces for which state is held. */
	readonly workspaceCount: number;
	/** Expected duration of a request; 0 before the first answer. */
	readonly expectedMs: number;
};

/** Dependencies of the admission control. */
export type ServiceAdmissionDependencies = {
	readonly random: Random;
	/** Returns where a request with this fingerprint may run. */
	readonly placementOf: (fingerprint: string, nowMs: number) => Placement;
};

const defaultSettings: LoadSettings = {
	slotsPerInstance: 4, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 0.5,
};

/** Creates the admission control for one service. */
export const createServiceAdmission = <Request extends LoadRequest = LoadRequest>(
	{random, placementOf}: ServiceAdmissionDependencies,
): ServiceAdmission<Request> => {
	const instances = createInstanceLoads();
	const limit = createServiceLimit();
	const queue = createFairQueue<Request>();
	const latency = createLatencyAverage();
	const inFlightByWorkspace = new Map<string, number>();
	let settings = defaultSettings;
	let entryCount = 1;
	let inFlight = 0;
	let displacedRequests: Request[] = [];

	const bounds = (): QueueBounds => ({maxLength: settings.queueLength, maxWaitMs: settings.queueWaitMs});
	const expectedMs = (nowMs: number): number => latency.valueMs(nowMs) ?? 0;

	/** Slots of an instance, limited by this entry's share of the connections that the instance accepts. */
	const slotsPerInstance = (): number => {
		const connections = Math.floor(settings.connectionsPerInstance / entryCount);
		return Math.max(1, Math.min(settings.slotsPerInstance, connections));
	};

	/** Shorter than the longest wait in the queue, so that a waiting request can outlast it. */
	const holdMs = (): number => Math.min(failedHoldMs, settings.queueWaitMs / 2);

	const currentLimit = (nowMs: number): number =>
		limit.inFlightLimit(instances.usableSlots(slotsPerInstance(), nowMs), entryCount);

	const start = (request: Request, instanceId: string, placement: Placement, nowMs: number): Permit => {
		const permit: Permit = {
			instanceId, workspace: request.workspace, startedAtMs: nowMs, isSuspect: placement.type === 'alone',
		};
		instances.start(permit);
		inFlight++;
		inFlightByWorkspace.set(permit.workspace, (inFlightByWorkspace.get(permit.workspace) ?? 0) + 1);
		return permit;
	};

	const hasRoom = (nowMs: number): boolean => {
		if (instances.usableInFlight(nowMs) + 1 <= currentLimit(nowMs)) {
			return true;
		}

		limit.observeSaturation(nowMs);
		return false;
	};

	const currentViews = (nowMs: number): readonly InstanceView[] => instances.views({slotsPerInstance: slotsPerInstance(), holdMs: holdMs()}, nowMs);

	const exceedsWorkspaceShare = (workspace: string, nowMs: number): boolean =>
		(inFlightByWorkspace.get(workspace) ?? 0) + 1 > Math.max(1, currentLimit(nowMs) * settings.workspaceShare);

	/** Expected wait of a new request of this workspace, from its place in the round-robin order and the rate of answers. */
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
				displacedRequests.push(addition.displaced);
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

	/** Starts or refuses the next waiting request, workspaces within their share first. */
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

		queue.take(request => !exceedsWorkspaceShare(request.workspace, nowMs) && tryDispatch(request));
		if (dispatched === undefined) {
			queue.take(request => exceedsWorkspaceShare(request.workspace, nowMs) && tryDispatch(request));
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

			const mustQueue = queue.length() > 0 && exceedsWorkspaceShare(request.workspace, nowMs);
			if (mustQueue || !hasRoom(nowMs)) {
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
			const remaining = (inFlightByWorkspace.get(permit.workspace) ?? 0) - 1;
			if (remaining > 0) {
				inFlightByWorkspace.set(permit.workspace, remaining);
			} else {
				inFlightByWorkspace.delete(permit.workspace);
			}

			if (end === 'shed') {
				limit.observeShed(nowMs);
			}

			if (end === 'answered' || end === 'timed-out') {
				latency.observe(nowMs - permit.startedAtMs, nowMs);
				limit.observeAnswer(nowMs - sentWholeAtMs, nowMs);
			}
		},
		dispatch(nowMs) {
			const dispatches: Array<Dispatch<Request>> = [
				...displacedRequests.map(request => ({type: 'refuse', request, kind: 'workspace-limit'} as const)),
				...queue.expire(bounds(), expectedMs(nowMs), nowMs).map(({item, kind}) => ({type: 'refuse', request: item, kind} as const)),
			];
			displacedRequests = [];
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
			displacedRequests = displacedRequests.filter(other => other !== request);
		},
		snapshot: nowMs => ({
			queueLength: queue.length(),
			inFlight,
			inFlightLimit: currentLimit(nowMs),
			borrowedShare: limit.borrowedShare(),
			workspaceCount: inFlightByWorkspace.size + queue.workspaceCount(),
			expectedMs: expectedMs(nowMs),
		}),
	};
};
