/** Runs of the simulation of quotas, from seeds. */

import {createRandom, type WorkspaceQuota} from '@egretwing/core';
import {quotaLimits, type Run} from './fleet-model.ts';

/** A run with trouble of all kinds. */
export const createRun = (seed: number): Run => {
	const random = createRandom(seed * 7919);
	const between = (low: number, high: number): number => low + (random.next() * (high - low));
	const count = (highest: number): number => Math.floor(random.next() * (highest + 1));
	const oneOf = <Item>(items: readonly Item[]): Item => items[Math.floor(random.next() * items.length)]!;
	const gateways = oneOf([3, 10, 20, 44, 86]);
	const placed = Math.max(1, Math.round(gateways / 20 * oneOf([1, 1, 2])));
	const ratePerSecond = oneOf([1, 5, 20, 60, 200]);
	const quota: WorkspaceQuota = {ratePerSecond, burst: Math.round(ratePerSecond * between(0, 3))};
	const usualPerSecond = ratePerSecond * between(0.2, 0.9);
	const hotFromMs = between(1000, 12_000);
	const hotUntilMs = hotFromMs + between(3000, 8000);
	const hotFactor = between(3, 10);
	const factor: Readonly<Record<string, number>> = {low: between(0.3, 0.8)};
	return {
		seed,
		lengthMs: 20_000,
		gateways,
		placed,
		lossShare: oneOf([0, 0.05, 0.2]),
		maxDelayMs: oneOf([2, 20, 60]),
		quotas: [
			{atMs: 0, quota},
			...(random.next() < 0.3 ? [{atMs: Math.round(between(2000, 12_000)), quota: {ratePerSecond: ratePerSecond * factor.low!, burst: quota.burst * factor.low!}}] : []),
		],
		perSecond: nowMs => nowMs >= hotFromMs && nowMs < hotUntilMs ? usualPerSecond * hotFactor : usualPerSecond,
		givenBackShare: oneOf([0, 0.1]),
		stayMs: oneOf([[200, 2000], [2000, 8000], [60_000, 60_000]] as const),
		usedGateways: 1 + count(placed * 2),
		splits: Array.from({length: count(2)}, () => {
			const fromMs = between(500, 16_000);
			return {fromMs, untilMs: fromMs + between(1000, 6000), share: between(0.05, 0.5)};
		}),
		kills: Array.from({length: count(2)}, () => ({atMs: Math.round(between(500, 16_000)), downMs: between(300, 2500), share: between(0.1, 1)})),
	};
};

/** A load without trouble. */
export type QuietLoad = {
	readonly gateways: number;
	/** Gateways that callers are sent to, and those of them that they use. */
	readonly placed: number;
	readonly usedGateways: number;
	readonly quota: WorkspaceQuota;
	/** Requests as a share of what the quota allows in a window. */
	readonly share: number;
};

/** A run without trouble. */
export const createQuietRun = (seed: number, {
	gateways, placed, usedGateways, quota, share,
}: QuietLoad): Run => {
	const perWindow = (quota.ratePerSecond * quotaLimits.windowMs / 1000) + quota.burst;
	return {
		seed,
		lengthMs: 30_000,
		gateways,
		placed,
		lossShare: 0,
		maxDelayMs: 5,
		quotas: [{atMs: 0, quota}],
		perSecond: () => perWindow * share * 1000 / quotaLimits.windowMs,
		givenBackShare: 0,
		stayMs: [60_000, 60_000],
		usedGateways,
		splits: [],
		kills: [],
	};
};
