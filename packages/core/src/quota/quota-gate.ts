/**
 * Admits the requests of workspaces within their quotas over all gateways, with reports between gateways and no common state.
 *
 * Answers a workspace that asks far more than its limit at several gateways, one whose callers sit on few of the gateways, and quiet
 * workspaces, which cost no messages: a gateway speaks of a workspace when it has admitted most of its static share, or hears that a peer has.
 */

import type {WorkspaceQuota} from '../catalogue/types.ts';
import type {Random} from '../random.ts';
import {toCeilings, type Ceilings} from './ceilings.ts';
import {
	bucketsPerWindow, maxStrays, minRoomAfterMs, reportIntervalMs, reportIntervalPerPeerMs, reportRowBytes, silentIntervals, silentShare, talkMs, urgentIntervalMs, waitJitter,
} from './constants.ts';
import {
	estimateFleetUse, staticShareOf, type FleetUse, type FleetUseOptions,
} from './fleet-use.ts';
import {createPeerUse, type PeerUse} from './peer-use.ts';
import type {
	QuotaDecision, QuotaFleet, QuotaLimits, QuotaReport, QuotaRow, QuotaSend, QuotaUse,
} from './types.ts';
import {createUseWindow, type UseWindow} from './use-window.ts';

/** Quotas of one gateway. */
export type QuotaGate = {
	/** Replaces the quotas by workspace; workspaces without one are not limited. Use so far counts on. */
	readonly setQuotas: (quotas: ReadonlyMap<string, WorkspaceQuota>) => void;
	readonly setFleet: (fleet: QuotaFleet, nowMs: number) => void;
	/** Decides on a request, and counts it if it is admitted. */
	readonly admit: (workspace: string, nowMs: number) => QuotaDecision;
	/** Takes back an admission of `admittedAtMs` whose request reached no instance. */
	readonly giveBack: (workspace: string, admittedAtMs: number, nowMs: number) => void;
	readonly receive: (peerId: string, report: QuotaReport, nowMs: number) => void;
	/** The next report, whose rows take at most `maxBytes`; undefined when none is due. */
	readonly takeReport: (maxBytes: number, nowMs: number) => QuotaSend | undefined;
	/** Whether peers should hear of something before the next tick. */
	readonly isUrgent: (nowMs: number) => boolean;
	/** Forgets workspaces without use; to be called about once in a window. */
	readonly prune: (nowMs: number) => void;
	/** The workspace of which most is used compared with its limit; undefined while none is used. */
	readonly largest: (nowMs: number) => {readonly workspace: string; readonly use: QuotaUse} | undefined;
};

/** Dependencies of the gate. */
export type QuotaGateOptions = {
	readonly limits: QuotaLimits;
	readonly random: Random;
	readonly startedAtMs: number;
};

type Workspace = {
	readonly name: string;
	readonly nameBytes: number;
	ceilings: Ceilings;
	readonly window: UseWindow;
	readonly peers: PeerUse;
	/** Until when this gateway reports. */
	talkUntilMs: number;
	lastSentMs: number;
	/** Requests admitted since the last report. */
	untold: number;
	isUrgent: boolean;
};

const noFleet: QuotaFleet = {
	placedPeerIds: [], isPlaced: true, unknownPeers: 0, reachShare: 1,
};

const textEncoder = new TextEncoder();

/** Creates a gate without quotas. */
export const createQuotaGate = ({limits, random, startedAtMs}: QuotaGateOptions): QuotaGate => {
	const {windowMs} = limits;
	const workspaces = new Map<string, Workspace>();
	const talking = new Set<Workspace>();
	const urgent = new Set<Workspace>();
	let quotas: ReadonlyMap<string, WorkspaceQuota> = new Map();
	let fleet = noFleet;
	/** Since when callers are sent to this gateway; undefined while they are not. */
	let placedSinceMs: number | undefined = startedAtMs;
	let lastReportMs = Number.NEGATIVE_INFINITY;
	/** Gateways that callers are not sent to and that report nonetheless, with the time of the last report that they sent or that named them. */
	const strayMsById = new Map<string, number>();

	const intervalMs = (): number => Math.max(reportIntervalMs, reportIntervalPerPeerMs * fleet.placedPeerIds.length);

	const silentMs = (): number => silentIntervals * intervalMs();

	const memoryMs = (nowMs: number): number => placedSinceMs === undefined ? 0 : nowMs - placedSinceMs;

	/** The workspace's state; undefined when it is not limited. */
	const find = (name: string): Workspace | undefined => {
		const known = workspaces.get(name);
		const quota = known === undefined ? quotas.get(name) : undefined;
		if (quota === undefined) {
			return known;
		}

		const workspace: Workspace = {
			name,
			nameBytes: textEncoder.encode(name).length,
			ceilings: toCeilings(quota, limits),
			window: createUseWindow(windowMs),
			peers: createPeerUse(windowMs, silentMs),
			talkUntilMs: Number.NEGATIVE_INFINITY,
			lastSentMs: Number.NEGATIVE_INFINITY,
			untold: 0,
			isUrgent: false,
		};
		workspaces.set(name, workspace);
		return workspace;
	};

	const optionsOf = ({ceilings, peers}: Workspace, nowMs: number): FleetUseOptions => ({
		ceilings, fleet, peers, windowMs, upMs: nowMs - startedAtMs, memoryMs: memoryMs(nowMs), silentMs: silentMs(),
	});

	/** Whether the next request would bring this gateway close to its static share. */
	const isAsking = (workspace: Workspace, nowMs: number): boolean => {
		const own = workspace.window.count(nowMs);
		return own > 0 && own + 1 >= silentShare * staticShareOf(optionsOf(workspace, nowMs), nowMs);
	};

	/**
	 * A peer that has restarted since this gateway runs may have admitted what it did not report, up to the share from which on it would
	 * have. What it admitted before this gateway ran is part of what no gateway knows.
	 */
	const recordRestart = (workspace: Workspace, peerId: string, peerUpMs: number, nowMs: number): void => {
		const leftMs = windowMs - peerUpMs;
		const hasReported = workspace.peers.ageMs(peerId, nowMs) < windowMs;
		const sharedMs = Math.min(windowMs, nowMs - startedAtMs - peerUpMs);
		if (leftMs > 0 && sharedMs > 0 && !hasReported && fleet.placedPeerIds.includes(peerId)) {
			const share = silentShare * staticShareOf(optionsOf(workspace, nowMs), nowMs);
			workspace.peers.recordUnreported(share * (sharedMs / windowMs) * (leftMs / windowMs), leftMs, nowMs);
		}
	};

	const markUrgent = (workspace: Workspace): void => {
		workspace.isUrgent = true;
		urgent.add(workspace);
	};

	/** Starts reports, or lets them go on. */
	const talk = (workspace: Workspace, nowMs: number): void => {
		workspace.talkUntilMs = nowMs + talkMs;
		if (!talking.has(workspace)) {
			talking.add(workspace);
			markUrgent(workspace);
		}
	};

	/** What this gateway may admit until its peers hear of it: an equal part of what is left, so that all who are busy can take theirs. */
	const dealOf = ({untold}: Workspace, {allowed, busy}: FleetUse, own: number): number => (allowed - own + untold) / busy;

	/** Whether a request fits; a part of a request is dealt by chance. */
	const fits = (workspace: Workspace, use: FleetUse, own: number): boolean => {
		if (own + 1 > use.allowed) {
			return false;
		}

		const deal = dealOf(workspace, use, own);
		if (use.busy > 1 && talking.has(workspace) && workspace.untold >= deal / 2) {
			markUrgent(workspace);
		}

		return use.busy === 1 || workspace.untold + random.next() < deal;
	};

	const toUse = (workspace: Workspace, {allowed, reported, reserved}: FleetUse, nowMs: number): QuotaUse => ({
		own: workspace.window.count(nowMs), reported, reserved, limit: workspace.ceilings.limit, allowed,
	});

	/** Time until enough has left the window for one request. */
	const roomAfterMs = ({window}: Workspace, {allowed, reported}: FleetUse, nowMs: number): number => {
		const own = window.count(nowMs);
		const stepMs = windowMs / bucketsPerWindow;
		let waitMs = minRoomAfterMs;
		while (waitMs < windowMs + stepMs && own - window.leaving(waitMs, nowMs) + 1 > allowed + (reported * waitMs / windowMs)) {
			waitMs += stepMs;
		}

		return waitMs * (1 + (waitJitter * random.next()));
	};

	const toRow = (workspace: Workspace, nowMs: number): QuotaRow => {
		const {name, window, peers} = workspace;
		const former = peers.former(nowMs);
		return [name, window.count(nowMs), window.recentCount(nowMs), isAsking(workspace, nowMs), Math.ceil(former.count), Math.ceil(former.leftMs)];
	};

	/** Gateways that get reports although callers are not sent to them. */
	const straysAt = (nowMs: number): readonly string[] =>
		[...strayMsById].filter(([id, atMs]) => nowMs - atMs <= silentMs() && !fleet.placedPeerIds.includes(id)).map(([id]) => id);

	const isDue = ({isUrgent, lastSentMs}: Workspace, nowMs: number): boolean => nowMs - lastSentMs >= (isUrgent ? urgentIntervalMs : intervalMs());

	/** The workspaces to report on, those of which peers should hear at once first, then those of which they have not heard for longest. */
	const takeDue = (maxBytes: number, nowMs: number): readonly Workspace[] => {
		const due: Workspace[] = [];
		for (const workspace of talking) {
			if (workspace.talkUntilMs <= nowMs && !isAsking(workspace, nowMs)) {
				talking.delete(workspace);
				urgent.delete(workspace);
			} else if (isDue(workspace, nowMs)) {
				due.push(workspace);
			}
		}

		due.sort((left, right) => Number(right.isUrgent) - Number(left.isUrgent) || left.lastSentMs - right.lastSentMs);
		let sizeBytes = 0;
		return due.filter(({nameBytes}) => {
			const rowBytes = nameBytes + reportRowBytes;
			const isFitting = sizeBytes + rowBytes <= maxBytes;
			sizeBytes += isFitting ? rowBytes : 0;
			return isFitting;
		});
	};

	return {
		setQuotas(newQuotas) {
			quotas = newQuotas;
			for (const [name, workspace] of workspaces) {
				const quota = quotas.get(name);
				if (quota === undefined) {
					workspaces.delete(name);
					talking.delete(workspace);
					urgent.delete(workspace);
				} else {
					workspace.ceilings = toCeilings(quota, limits);
				}
			}
		},
		setFleet(newFleet, nowMs) {
			fleet = newFleet;
			placedSinceMs = fleet.isPlaced ? placedSinceMs ?? nowMs : undefined;
		},
		admit(name, nowMs) {
			const workspace = find(name);
			if (workspace === undefined) {
				return {type: 'admitted'};
			}

			const own = workspace.window.count(nowMs);
			const use = estimateFleetUse(optionsOf(workspace, nowMs), nowMs);
			if (own + 1 >= silentShare * use.staticShare) {
				talk(workspace, nowMs);
			}

			if (!fits(workspace, use, own)) {
				return {type: 'refused', roomAfterMs: roomAfterMs(workspace, use, nowMs), use: toUse(workspace, use, nowMs)};
			}

			workspace.window.add(nowMs);
			workspace.untold++;
			return {type: 'admitted'};
		},
		giveBack(name, admittedAtMs, nowMs) {
			workspaces.get(name)?.window.remove(admittedAtMs, nowMs);
		},
		receive(peerId, {
			upMs, memoryMs: peerMemoryMs, rows, strayIds,
		}, nowMs) {
			for (const id of [peerId, ...strayIds]) {
				strayMsById.set(id, nowMs);
			}

			for (const row of rows) {
				const workspace = find(row[0]);
				if (workspace === undefined) {
					continue;
				}

				const isNew = workspace.peers.ageMs(peerId, nowMs) > silentMs();
				recordRestart(workspace, peerId, upMs, nowMs);
				workspace.peers.record(peerId, {upMs, memoryMs: peerMemoryMs}, row, nowMs);
				if (row[3]) {
					talk(workspace, nowMs);
					if (isNew) {
						markUrgent(workspace);
					}
				}
			}
		},
		takeReport(maxBytes, nowMs) {
			const due = takeDue(maxBytes, nowMs);
			if (due.length === 0) {
				return undefined;
			}

			lastReportMs = nowMs;
			const strayIds = straysAt(nowMs);
			const rows = due.map(workspace => {
				const row = toRow(workspace, nowMs);
				workspace.lastSentMs = nowMs;
				workspace.untold = 0;
				workspace.isUrgent = false;
				urgent.delete(workspace);
				return row;
			});
			return {
				to: [...fleet.placedPeerIds, ...strayIds],
				report: {
					upMs: Math.min(windowMs, Math.floor(nowMs - startedAtMs)), memoryMs: Math.min(windowMs, Math.floor(memoryMs(nowMs))), rows, strayIds: strayIds.slice(0, maxStrays),
				},
			};
		},
		isUrgent(nowMs) {
			if (nowMs - lastReportMs < urgentIntervalMs) {
				return false;
			}

			for (const workspace of urgent) {
				if (isDue(workspace, nowMs)) {
					return true;
				}
			}

			return false;
		},
		prune(nowMs) {
			for (const [id, atMs] of strayMsById) {
				if (nowMs - atMs >= windowMs) {
					strayMsById.delete(id);
				}
			}

			for (const [name, workspace] of workspaces) {
				const isForgotten = workspace.peers.prune(nowMs);
				if (isForgotten && !talking.has(workspace) && workspace.window.count(nowMs) === 0) {
					workspaces.delete(name);
					urgent.delete(workspace);
				}
			}
		},
		largest(nowMs) {
			let largest: {readonly workspace: string; readonly use: QuotaUse} | undefined;
			let largestShare = 0;
			for (const workspace of talking) {
				const use = toUse(workspace, estimateFleetUse(optionsOf(workspace, nowMs), nowMs), nowMs);
				const share = (use.own + use.reported) / use.limit;
				if (share > largestShare) {
					largestShare = share;
					largest = {workspace: workspace.name, use};
				}
			}

			return largest;
		},
	};
};
