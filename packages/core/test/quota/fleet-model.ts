/** Simulates the quota of one workspace over many gateways in virtual time, with splits, lost reports, kills and callers that move. */

import {
	createQuotaGate, createRandom, type QuotaFleet, type QuotaGate, type QuotaLimits, type WorkspaceQuota, type QuotaSend, type Random,
} from '@egretwing/core';

/** The limits under which quotas have to hold. */
export const quotaLimits: QuotaLimits = {windowMs: 5000, overageShare: 0.25, slack: 20};

/** Work and trouble of a run. Times are in milliseconds from its begin. */
export type Run = {
	readonly seed: number;
	readonly lengthMs: number;
	readonly gateways: number;
	/** Number of gateways that callers are sent to, in each group of gateways that reach each other. */
	readonly placed: number;
	/** Share of the messages that are lost. */
	readonly lossShare: number;
	/** Longest time that a message takes. */
	readonly maxDelayMs: number;
	/** Quotas and the time from which each is in force. */
	readonly quotas: ReadonlyArray<{readonly atMs: number; readonly quota: WorkspaceQuota}>;
	/** Requests per second of the workspace. */
	readonly perSecond: (nowMs: number) => number;
	/** Share of requests that are given back. */
	readonly givenBackShare: number;
	/** Shortest and longest time for which callers stay with their gateways. */
	readonly stayMs: readonly [number, number];
	/** Number of gateways that callers use, of those that they are sent to. */
	readonly usedGateways: number;
	/** About `share` of the gateways, of those that callers are sent to as well, can't reach the others meanwhile. */
	readonly splits: ReadonlyArray<{readonly fromMs: number; readonly untilMs: number; readonly share: number}>;
	/** A share of the gateways ends and starts again `downMs` later. */
	readonly kills: ReadonlyArray<{readonly atMs: number; readonly downMs: number; readonly share: number}>;
};

/** What happened in a run. */
export type Outcome = {
	readonly asked: number;
	readonly refused: number;
	/** Messages sent. */
	readonly messages: number;
	/** Largest number of requests admitted in a window, compared with what is allowed for it; above 1 when the rule is broken. */
	readonly largestShare: number;
	readonly largestAtMs: number;
};

type Gateway = {
	readonly index: number;
	gate: QuotaGate;
	upFromMs: number;
	/** When this gateway last reached each of the others; never when it has not since its start. */
	readonly reachedMs: Float64Array;
	readonly placedMs: Map<number, number>;
	/** Time after which this gateway notices that another one is gone. */
	noticeMs: number;
};

type Message = {readonly atMs: number; readonly from: number; readonly to: number; readonly report: QuotaSend['report']};

const workspace = 'w-1';
const stepMs = 10;
const tickMs = 100;
const viewMs = 500;
const placedMemoryMs = 5000;
const maxReportBytes = 900;

/** Number of gateways that share a limit at least, so that no use is known to one gateway alone. */
const minSharing = 3;

/** Spreads the sides of a split over the gateways; prime to their numbers. */
const sideStride = 37;

/** Time after which a gateway that has just started knows the others. */
const joinMs = 300;

const ceilingOf = ({ratePerSecond, burst}: WorkspaceQuota): number =>
	(((ratePerSecond * quotaLimits.windowMs / 1000) + burst) * (1 + quotaLimits.overageShare)) + quotaLimits.slack;

/** Finds the window with the most admissions compared with what is allowed for it. */
const findLargest = (timesMs: readonly number[], {quotas}: Run): {readonly share: number; readonly atMs: number} => {
	let first = 0;
	let largest = {share: 0, atMs: 0};
	for (const [index, timeMs] of timesMs.entries()) {
		while (timesMs[first]! <= timeMs - quotaLimits.windowMs) {
			first++;
		}

		// A lower limit binds one window after it is in force.
		const inForce = quotas.filter((_, place) => {
			const next = quotas[place + 1];
			return quotas[place]!.atMs <= timeMs && (next === undefined || next.atMs > timeMs - quotaLimits.windowMs);
		});
		const share = (index - first + 1) / Math.max(...inForce.map(({quota}) => ceilingOf(quota)));
		if (share > largest.share) {
			largest = {share, atMs: timeMs};
		}
	}

	return largest;
};

/** Plays a run. */
export const play = (run: Run): Outcome => {
	const random: Random = createRandom(run.seed);
	const gateways: Gateway[] = [];
	const admittedMs: number[] = [];
	const messages: Message[] = [];
	let asked = 0;
	let refused = 0;
	let sent = 0;
	let owedShare = 0;
	let used: readonly number[] = [];
	let nextMoveMs = 0;

	const quotaAt = (nowMs: number): WorkspaceQuota => run.quotas.findLast(({atMs}) => atMs <= nowMs)!.quota;

	const createGate = (nowMs: number): QuotaGate => {
		const gate = createQuotaGate({limits: quotaLimits, random, startedAtMs: nowMs});
		gate.setQuotas(new Map([[workspace, quotaAt(Math.max(0, nowMs))]]));
		return gate;
	};

	const sideOf = (index: number, nowMs: number): boolean =>
		run.splits.some(({fromMs, untilMs, share}) => nowMs >= fromMs && nowMs < untilMs && (index * sideStride) % run.gateways < share * run.gateways);

	const isUp = ({upFromMs}: Gateway, nowMs: number): boolean => nowMs >= upFromMs;

	const canReach = (left: Gateway, right: Gateway, nowMs: number): boolean =>
		isUp(left, nowMs) && isUp(right, nowMs) && sideOf(left.index, nowMs) === sideOf(right.index, nowMs);

	const presentOf = (gateway: Gateway, nowMs: number): readonly Gateway[] => gateways.filter(other =>
		other === gateway || nowMs - gateway.reachedMs[other.index]! < gateway.noticeMs);

	const refreshView = (gateway: Gateway, nowMs: number): void => {
		for (const other of gateways) {
			if (nowMs >= gateway.upFromMs + joinMs && canReach(gateway, other, nowMs)) {
				gateway.reachedMs[other.index] = nowMs;
			}
		}

		// A peer tells of others that it knows.
		const peers = gateways.filter(other => gateway.reachedMs[other.index] === nowMs);
		for (const [index, atMs] of peers[Math.floor(random.next() * peers.length)]?.reachedMs.entries() ?? []) {
			gateway.reachedMs[index] = Math.max(gateway.reachedMs[index]!, atMs);
		}

		const present = presentOf(gateway, nowMs);
		for (const {index} of present.slice(0, Math.max(minSharing, run.placed))) {
			gateway.placedMs.set(index, nowMs);
		}

		for (const [index, atMs] of gateway.placedMs) {
			if (nowMs - atMs >= placedMemoryMs) {
				gateway.placedMs.delete(index);
			}
		}

		const known = gateways.filter(other => other === gateway || gateway.reachedMs[other.index]! > Number.NEGATIVE_INFINITY).length;
		const fleet: QuotaFleet = {
			placedPeerIds: [...gateway.placedMs.keys()].filter(index => index !== gateway.index).map(String),
			isPlaced: gateway.placedMs.has(gateway.index),
			unknownPeers: known === 1 ? Math.max(minSharing, run.placed) - 1 : 0,
			reachShare: present.length / known,
		};
		gateway.gate.setFleet(fleet, nowMs);
	};

	const flush = (gateway: Gateway, nowMs: number): void => {
		const send = gateway.gate.takeReport(maxReportBytes, nowMs);
		for (const to of send?.to ?? []) {
			sent++;
			if (random.next() >= run.lossShare) {
				messages.push({
					atMs: nowMs + 1 + (random.next() * run.maxDelayMs), from: gateway.index, to: Number(to), report: send!.report,
				});
			}
		}
	};

	const deliver = (nowMs: number): void => {
		const due = messages.filter(({atMs}) => atMs <= nowMs);
		if (due.length === 0) {
			return;
		}

		const later = messages.filter(({atMs}) => atMs > nowMs);
		messages.splice(0, messages.length, ...later);
		for (const {from, to, report} of due) {
			const receiver = gateways[to]!;
			if (canReach(gateways[from]!, receiver, nowMs)) {
				receiver.gate.receive(String(from), report, nowMs);
				if (receiver.gate.isUrgent(nowMs)) {
					flush(receiver, nowMs);
				}
			}
		}
	};

	/** Callers are told the gateways that are placed on either side, and choose some of them. */
	const move = (nowMs: number): void => {
		const named = new Set<number>();
		for (const gateway of gateways) {
			if (isUp(gateway, nowMs)) {
				for (const {index} of presentOf(gateway, nowMs).slice(0, run.placed)) {
					named.add(index);
				}
			}
		}

		const rest = [...named];
		const chosen: number[] = [];
		while (chosen.length < run.usedGateways && rest.length > 0) {
			chosen.push(...rest.splice(Math.floor(random.next() * rest.length), 1));
		}

		used = chosen;
		nextMoveMs = chosen.length === 0 ? nowMs + tickMs : nowMs + run.stayMs[0] + (random.next() * (run.stayMs[1] - run.stayMs[0]));
	};

	const ask = (gateway: Gateway, nowMs: number): void => {
		if (!isUp(gateway, nowMs)) {
			return;
		}

		asked++;
		const decision = gateway.gate.admit(workspace, nowMs);
		if (decision.type === 'refused') {
			refused++;
		} else if (random.next() < run.givenBackShare) {
			gateway.gate.giveBack(workspace, nowMs, nowMs);
		} else {
			admittedMs.push(nowMs);
		}

		if (gateway.gate.isUrgent(nowMs)) {
			flush(gateway, nowMs);
		}
	};

	const kill = (nowMs: number): void => {
		for (const {atMs, downMs, share} of run.kills) {
			if (nowMs >= atMs && nowMs < atMs + stepMs) {
				for (const gateway of gateways) {
					if (random.next() < share) {
						gateway.upFromMs = nowMs + downMs;
						gateway.gate = createGate(gateway.upFromMs);
						gateway.reachedMs.fill(Number.NEGATIVE_INFINITY);
						gateway.placedMs.clear();
					}
				}
			}
		}
	};

	for (let index = 0; index < run.gateways; index++) {
		gateways.push({
			index, gate: createGate(-quotaLimits.windowMs), upFromMs: -quotaLimits.windowMs, reachedMs: new Float64Array(run.gateways), placedMs: new Map(), noticeMs: 2000 + (random.next() * 1500),
		});
	}

	for (const gateway of gateways) {
		refreshView(gateway, 0);
	}

	for (let nowMs = 0; nowMs < run.lengthMs; nowMs += stepMs) {
		kill(nowMs);
		for (const {atMs, quota} of run.quotas) {
			if (nowMs >= atMs && nowMs < atMs + stepMs) {
				for (const {gate} of gateways) {
					gate.setQuotas(new Map([[workspace, quota]]));
				}
			}
		}

		for (const gateway of gateways) {
			if (isUp(gateway, nowMs) && (nowMs + (gateway.index * stepMs)) % viewMs === 0) {
				refreshView(gateway, nowMs);
				gateway.gate.prune(nowMs);
			}
		}

		deliver(nowMs);
		if (nowMs >= nextMoveMs) {
			move(nowMs);
		}

		owedShare += run.perSecond(nowMs) * stepMs / 1000;
		for (; owedShare >= 1; owedShare--) {
			const gateway = gateways[used[Math.floor(random.next() * used.length)] ?? -1];
			if (gateway !== undefined) {
				ask(gateway, nowMs);
			}
		}

		for (const gateway of gateways) {
			if (isUp(gateway, nowMs) && (nowMs + (gateway.index * stepMs)) % tickMs === 0) {
				flush(gateway, nowMs);
			}
		}
	}

	const {share, atMs} = findLargest(admittedMs, run);
	return {
		asked, refused, messages: sent, largestShare: share, largestAtMs: atMs,
	};
};
