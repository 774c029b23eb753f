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
		| {readonly type: 'configure'}
		/** An instance announces that it leaves, ends a little later and is replaced by a new one. */
		| {readonly type: 'replace'; readonly instance: number};

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
};

const firstFaultMs = 1500;
const meanGapMs = 450;
const shortestMs = 300;
const longestMs = 2500;

const linkFaults: readonly ProxyFault[] = [
	{type: 'delay', delayMs: 150}, {type: 'reset'}, {type: 'silence', direction: 'requests'}, {type: 'silence', direction: 'answers'}, {type: 'silence', direction: 'both'},
];
const behaviours: readonly Behaviour[] = ['errors', 'resets', 'resets-after-work', 'hangs', 'sheds', 'spoils'];

/** Draws the steps of a run in order; the same random source and size give the same steps. */
export const drawSchedule = (random: Random, {gateways, instances, durationMs, calmMs}: SoakSize): readonly SoakStep[] => {
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

	for (let atMs = firstFaultMs; atMs < lastMs; atMs += meanGapMs * 2 * random.next()) {
		pick(draws)(atMs);
	}

	if (random.next() < 0.3) {
		steps.push({atMs: firstFaultMs + (random.next() * (lastMs - firstFaultMs)), action: {type: 'signal-all', signal: pick(['SIGKILL', 'SIGTERM'] as const)}});
	}

	return steps.toSorted((left, right) => left.atMs - right.atMs);
};
