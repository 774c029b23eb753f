/** Draws the schedule of faults of a run: faults of every kind, sequential and overlapping, then a calm period at the end. */

import type {Random} from '@egretwing/core';
import type {Behaviour} from './instances.ts';
import type {ProxyFault} from './proxy.ts';

/** An action of the schedule. */
export type SoakAction
	= | {readonly type: 'signal'; readonly gateway: number; readonly signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'}
		/** To all gateways at the same time. */
		| {readonly type: 'signal-all'; readonly signal: 'SIGKILL' | 'SIGTERM'}
		| {readonly type: 'instance'; readonly instance: number; readonly behaviour: Behaviour}
		| {readonly type: 'instance-link'; readonly instance: number; readonly fault: ProxyFault}
		| {readonly type: 'store-link'; readonly fault: ProxyFault}
		| {readonly type: 'store-busy'; readonly isBusy: boolean}
		/** The store comes back from a copy that is so old; what it lost is written again within `rewriteMs`. */
		| {readonly type: 'store-copy'; readonly ageMs: number; readonly rewriteMs: number}
		| {readonly type: 'configure'}
		/** An instance announces that it leaves, ends a little later and is replaced by a new one. */
		| {readonly type: 'replace'; readonly instance: number}
		/** The entry of an instance is removed, which says nothing and serves on until the end. */
		| {readonly type: 'unregister'; readonly instance: number}
		/** Odd request lines and bytes, drawn from `seed`, at a port of a gateway. */
		| {readonly type: 'odd-requests'; readonly gateway: number; readonly port: GatewayPort; readonly seed: number}
		/** Kills a gateway once for each of `agesMs` and sends the signal when the process started after that is so old. */
		| {readonly type: 'early-signal'; readonly gateway: number; readonly signal: 'SIGHUP' | 'SIGTERM'; readonly agesMs: readonly number[]}
		/** Kills a gateway, and another socket holds one of its ports. */
		| {readonly type: 'hold-port'; readonly gateway: number; readonly port: GatewayPort; readonly holdMs: number}
		/** Callers that send most of a large body and never finish. */
		| {readonly type: 'uploads'; readonly gateway: number; readonly callers: number}
		/** New settings files and SIGHUP for several gateways at once, a drawn time after others were killed. */
		| {readonly type: 'settings'; readonly gateways: readonly number[]; readonly killed: readonly number[]; readonly afterMs: number; readonly rotation: number};

/** Port of a gateway that odd bytes are sent to or that another socket holds. */
export type GatewayPort = 'front' | 'ready' | 'lookup' | 'peer' | 'peer-datagrams' | 'operator';

/** An action and its time from the start of the load. */
export type SoakStep = {
	readonly atMs: number;
	readonly action: SoakAction;
};

/** Size of a run. */
export type SoakSize = {
	readonly gateways: number;
	readonly instances: number;
	readonly durationMs: number;
	/** Duration of the calm period at the end, in which requests have to be served again. */
	readonly calmMs: number;
	/** Whether faults are drawn that may end a process: odd bytes, early signals, held ports, unfinished uploads, new settings. */
	readonly ends?: boolean;
	/** Whether the store names its era and comes back from older copies at times. */
	readonly eras?: boolean;
	/** Whether instances leave without a word, and gateways are killed while one that stands still keeps what it knew. */
	readonly removals?: boolean;
};

const firstFaultMs = 1500;
const meanGapMs = 450;
const shortestMs = 300;
const longestMs = 2500;

/** Age below which SIGHUP ends any program, since Node.js itself still starts. */
export const leastSignalAgeMs = 60;

const linkFaults: readonly ProxyFault[] = [
	{type: 'delay', delayMs: 150}, {type: 'reset'}, {type: 'silence', direction: 'requests'}, {type: 'silence', direction: 'answers'}, {type: 'silence', direction: 'both'},
];
const behaviours: readonly Behaviour[] = ['errors', 'resets', 'resets-after-work', 'hangs', 'sheds', 'spoils'];

const gatewayPortNames: readonly GatewayPort[] = ['front', 'ready', 'lookup', 'peer', 'peer-datagrams', 'operator'];
const earlySignals = {longestSeries: 3, spreadMs: 240} as const;
const longestHoldMs = 1500;
const unfinishedUploads = {least: 10, spread: 31} as const;
/** Time from a kill to SIGHUP, about that in which the platform starts a process again. */
const settingsAfterMs = {least: 200, spread: 400} as const;

/** Longest time for which the store is away, age of its copy, and time within which what was lost is written again. */
const storeCopies = {
	longestAwayMs: 1500, leastAgeMs: 300, spreadMs: 6000, rewriteMs: 1800,
} as const;

/** How long one gateway stands still, and in which time after its begin the others are killed and an instance leaves. */
const herdKills = {leastStillMs: 1500, spreadStillMs: 4000, withinMs: 1200} as const;

/** Draws the steps of a run in order; the same random source and size give the same steps. */
export const drawSchedule = (random: Random, {
	gateways, instances, durationMs, calmMs, ends = false, eras = false, removals = false,
}: SoakSize): readonly SoakStep[] => {
	const steps: SoakStep[] = [];
	const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random.next() * items.length)]!;
	const number = (count: number): number => Math.floor(random.next() * count);
	const lastMs = durationMs - calmMs;

	const addPair = (atMs: number, begin: SoakAction, end: SoakAction): void => {
		const untilMs = Math.min(lastMs, atMs + shortestMs + (random.next() * (longestMs - shortestMs)));
		steps.push({atMs, action: begin}, {atMs: untilMs, action: end});
	};

	const draws: ReadonlyArray<(atMs: number) => void> = [
		atMs => steps.push({atMs, action: {type: 'signal', gateway: number(gateways), signal: pick(['SIGKILL', 'SIGTERM', 'SIGHUP'] as const)}}),
		atMs => {
			const gateway = number(gateways);
			addPair(atMs, {type: 'signal', gateway, signal: 'SIGSTOP'}, {type: 'signal', gateway, signal: 'SIGCONT'});
		},
		atMs => {
			const instance = number(instances);
			addPair(atMs, {type: 'instance', instance, behaviour: pick(behaviours)}, {type: 'instance', instance, behaviour: 'sound'});
		},
		atMs => {
			const instance = number(instances);
			addPair(atMs, {type: 'instance-link', instance, fault: pick(linkFaults)}, {type: 'instance-link', instance, fault: {type: 'none'}});
		},
		atMs => {
			addPair(atMs, {type: 'store-link', fault: pick(linkFaults)}, {type: 'store-link', fault: {type: 'none'}});
		},
		atMs => {
			addPair(atMs, {type: 'store-busy', isBusy: true}, {type: 'store-busy', isBusy: false});
		},
		atMs => steps.push({atMs, action: {type: 'configure'}}),
		atMs => steps.push({atMs, action: {type: 'replace', instance: number(instances)}}),
	];

	const subset = (): readonly number[] => Array.from({length: gateways}, (_, index) => index).filter(() => random.next() < 0.5);
	const ages = (): readonly number[] => Array.from({length: 1 + number(earlySignals.longestSeries)}, () => leastSignalAgeMs + number(earlySignals.spreadMs + 1));
	const endDraws: ReadonlyArray<(atMs: number) => void> = [
		atMs => steps.push({
			atMs, action: {
				type: 'odd-requests', gateway: number(gateways), port: pick(gatewayPortNames), seed: number(2 ** 31),
			},
		}),
		atMs => steps.push({
			atMs, action: {
				type: 'early-signal', gateway: number(gateways), signal: pick(['SIGHUP', 'SIGTERM'] as const), agesMs: ages(),
			},
		}),
		atMs => steps.push({
			atMs, action: {
				type: 'hold-port', gateway: number(gateways), port: pick(gatewayPortNames), holdMs: Math.min(number(longestHoldMs + 1), Math.floor(lastMs - atMs)),
			},
		}),
		atMs => steps.push({atMs, action: {type: 'uploads', gateway: number(gateways), callers: unfinishedUploads.least + number(unfinishedUploads.spread)}}),
		atMs => steps.push({
			atMs, action: {
				type: 'settings', gateways: subset(), killed: subset(), afterMs: settingsAfterMs.least + number(settingsAfterMs.spread), rotation: number(gateways),
			},
		}),
	];
	const eraDraws: ReadonlyArray<(atMs: number) => void> = [
		atMs => {
			const backAtMs = Math.min(lastMs, atMs + number(storeCopies.longestAwayMs + 1));
			steps.push(
				{atMs, action: {type: 'store-busy', isBusy: true}},
				{atMs: backAtMs, action: {type: 'store-copy', ageMs: storeCopies.leastAgeMs + number(storeCopies.spreadMs), rewriteMs: number(storeCopies.rewriteMs + 1)}},
				{atMs: backAtMs, action: {type: 'store-busy', isBusy: false}},
			);
		},
	];
	const withinHerdKill = (atMs: number): number => Math.min(lastMs, atMs + number(herdKills.withinMs));
	const addHerdKill = (atMs: number): void => {
		const still = number(gateways);
		const killedAtMs = withinHerdKill(atMs);
		const untilMs = Math.min(lastMs, atMs + herdKills.leastStillMs + number(herdKills.spreadStillMs));
		steps.push(
			{atMs, action: {type: 'signal', gateway: still, signal: 'SIGSTOP'}},
			{atMs: withinHerdKill(atMs), action: {type: 'unregister', instance: number(instances)}},
			{atMs: untilMs, action: {type: 'signal', gateway: still, signal: 'SIGCONT'}},
		);
		for (let gateway = 0; gateway < gateways; gateway++) {
			if (gateway !== still) {
				steps.push({atMs: killedAtMs, action: {type: 'signal', gateway, signal: 'SIGKILL'}});
			}
		}
	};

	const removalDraws: ReadonlyArray<(atMs: number) => void> = [
		atMs => steps.push({atMs, action: {type: 'unregister', instance: number(instances)}}),
		addHerdKill,
	];
	const allDraws = [...draws, ...(ends ? endDraws : []), ...(eras ? eraDraws : []), ...(removals ? removalDraws : [])];

	for (let atMs = firstFaultMs; atMs < lastMs; atMs += meanGapMs * 2 * random.next()) {
		pick(allDraws)(atMs);
	}

	if (random.next() < 0.3) {
		steps.push({atMs: firstFaultMs + (random.next() * (lastMs - firstFaultMs)), action: {type: 'signal-all', signal: pick(['SIGKILL', 'SIGTERM'] as const)}});
	}

	if (removals) {
		// What is missed just before the calm has no later fault to heal it.
		addHerdKill(Math.max(firstFaultMs, lastMs - herdKills.leastStillMs));
	}

	return steps.toSorted((left, right) => left.atMs - right.atMs);
};
