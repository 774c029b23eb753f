/** Runs the quotas of workspaces: reports to the other gateways, metrics, and refusals. Does nothing while no workspace has a quota. */

import {
	createQuotaGate, isPresent, type MemberView, type QuotaLimits, type QuotaReport, type QuotaUse, type Random, type Workspace,
} from '@egretwing/core';
import {
	lostPeerMemoryMs, maxQuotaRowsBytes, minQuotaGateways, quotaCleanupIntervalMs,
} from './constants.ts';
import {refuseWith, type FinalResult} from './deliver.ts';
import type {FleetView} from './fleet-view.ts';
import type {GatewayMetrics} from './metrics.ts';

/** Admission of one request. */
export type QuotaPermit = {
	readonly type: 'permit';
	/** Records whether an instance may have run the request by now, so that it counts. */
	readonly record: (mayHaveRun: boolean) => void;
	/** Ends the admission: it is given back when no instance may have run the request. */
	readonly settle: () => void;
};

/** Quotas of one gateway. */
export type Quotas = {
	/** Applies the quotas of a configuration. */
	readonly setWorkspaces: (workspaces: readonly Workspace[] | undefined) => void;
	/** Admits or refuses a caller's request, whatever the number of attempts that it will take. */
	readonly admit: (workspace: Workspace | undefined) => QuotaPermit | Extract<FinalResult, {type: 'refusal'}>;
	readonly receive: (peerId: string, report: QuotaReport) => void;
	readonly tick: () => void;
};

/** Dependencies of the quotas. */
export type QuotasOptions = {
	readonly hostId: string;
	readonly limits: QuotaLimits;
	readonly random: Random;
	readonly nowMs: () => number;
	readonly fleet: Pick<FleetView, 'peerIds' | 'recentlyPlacedPeerIds' | 'isUnplaced'>;
	/** All members, also those that are dead or have left. */
	readonly members: () => readonly MemberView[];
	/** Number of gateways through which to join the fleet, this one not included. */
	readonly seedCount: () => number;
	readonly metrics: GatewayMetrics;
	readonly send: (peerId: string, report: QuotaReport) => void;
};

const unlimited: QuotaPermit = {type: 'permit', record: () => undefined, settle: () => undefined};

const toLogged = ({own, reported, reserved, limit, allowed}: QuotaUse): Readonly<Record<string, number>> => ({
	own, reported: Math.round(reported), reserved: Math.round(reserved), limit, allowed: Math.round(allowed),
});

/** Creates the quotas of a gateway that starts now. */
export const createQuotas = ({
	hostId, limits, random, nowMs, fleet, members, seedCount, metrics, send,
}: QuotasOptions): Quotas => {
	const gate = createQuotaGate({limits, random, startedAtMs: nowMs()});
	/** Gateways that were lost without a word, and when that was noticed: they may be cut off and serve on. */
	const lostAtMsById = new Map<string, number>();
	let isActive = false;
	let nextCleanupMs = 0;

	/** Share of the known gateways that is not lost. */
	const reachShare = (): number => {
		let present = 0;
		for (const member of members()) {
			const {host, status, entryState} = member;
			present += Number(isPresent(member));
			if (status === 'dead' && entryState !== 'draining') {
				lostAtMsById.set(host.hostId, lostAtMsById.get(host.hostId) ?? nowMs());
			} else {
				lostAtMsById.delete(host.hostId);
			}
		}

		for (const [id, atMs] of lostAtMsById) {
			if (nowMs() - atMs >= lostPeerMemoryMs) {
				lostAtMsById.delete(id);
			}
		}

		return Math.max(1, present) / (Math.max(1, present) + lostAtMsById.size);
	};

	const refreshFleet = (): void => {
		const peerIds = fleet.peerIds();
		const sharing = new Set([...fleet.recentlyPlacedPeerIds(), ...(fleet.isUnplaced() ? [] : [hostId])]);
		for (const id of [hostId, ...peerIds].toSorted()) {
			if (sharing.size >= minQuotaGateways) {
				break;
			}

			sharing.add(id);
		}

		gate.setFleet({
			placedPeerIds: [...sharing].filter(id => id !== hostId),
			isPlaced: sharing.has(hostId),
			unknownPeers: peerIds.length === 0 ? seedCount() : 0,
			reachShare: reachShare(),
		}, nowMs());
	};

	const report = (): void => {
		const sent = gate.takeReport(maxQuotaRowsBytes, nowMs());
		for (const id of sent?.to ?? []) {
			send(id, sent!.report);
		}
	};

	const reportIfUrgent = (): void => {
		if (gate.isUrgent(nowMs())) {
			report();
		}
	};

	const cleanUp = (): void => {
		nextCleanupMs = nowMs() + quotaCleanupIntervalMs;
		gate.prune(nowMs());
		const use = gate.largest(nowMs())?.use;
		metrics.largestQuotaUse.set(use === undefined ? 0 : (use.own + use.reported) / use.limit);
	};

	const createPermit = (workspace: string): QuotaPermit => {
		const admittedAtMs = nowMs();
		let isKept = false;
		return {
			type: 'permit',
			record(mayHaveRun) {
				isKept ||= mayHaveRun;
			},
			settle() {
				if (!isKept) {
					isKept = true;
					gate.giveBack(workspace, admittedAtMs, nowMs());
					metrics.quotaRequests.inc({result: 'given-back'});
				}
			},
		};
	};

	return {
		setWorkspaces(workspaces) {
			const quotas = new Map((workspaces ?? []).flatMap(({name, quota}) => quota === undefined ? [] : [[name, quota]]));
			if (quotas.size === 0 && !isActive) {
				return;
			}

			isActive = quotas.size > 0;
			gate.setQuotas(quotas);
			refreshFleet();
		},
		admit(workspace) {
			if (!isActive || workspace?.quota === undefined) {
				return unlimited;
			}

			const decision = gate.admit(workspace.name, nowMs());
			reportIfUrgent();
			if (decision.type === 'admitted') {
				metrics.quotaRequests.inc({result: 'admitted'});
				return createPermit(workspace.name);
			}

			metrics.quotaRequests.inc({result: 'refused'});
			return {...refuseWith('workspace-limit', 'quota', Math.ceil(decision.roomAfterMs)), logged: {workspace: workspace.name, ...toLogged(decision.use)}};
		},
		receive(peerId, received) {
			if (isActive) {
				gate.receive(peerId, received, nowMs());
				reportIfUrgent();
			}
		},
		tick() {
			if (!isActive) {
				return;
			}

			refreshFleet();
			report();
			if (nowMs() >= nextCleanupMs) {
				cleanUp();
			}
		},
	};
};
