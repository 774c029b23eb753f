/**
 * Estimates the service time of each kind of request of a service, and the mean of all.
 *
 * Answers a service at which short urgent requests run beside long ones: with the mean, the short ones would be rejected
 * as too late or queued for too long, and the long ones would count as overdue.
 */

import {initialServiceMs, serviceTimeWeight} from './constants.ts';

/** Answers from which the estimate of a kind is used in place of the mean of all kinds. */
const minAnswers = 5;

/** Kinds that are told apart; the mean holds for any others. */
const maxKinds = 64;

/** Service times of the requests of one service. */
export type ServiceTimes = {
	/** Mean over all requests. */
	readonly meanMs: () => number;
	/** Service time of a kind; the mean of all while there are no other kinds, or too few answers. */
	readonly ofKindMs: (kind: string | undefined) => number;
	/** Records a good answer. */
	readonly record: (kind: string | undefined, tookMs: number) => void;
};

type KindTime = {
	answers: number;
	serviceMs: number;
};

/** Requests that may take equally long: of the same semantics, with latency objectives within some 40 % of each other. */
export const requestKind = (semantics: string, latencyObjectiveMs: number): string =>
	`${semantics} ${Math.round(2 * Math.log2(Math.max(1, latencyObjectiveMs)))}`;

/** Creates an estimate without answers. */
export const createServiceTimes = (): ServiceTimes => {
	const byKind = new Map<string, KindTime>();
	let meanMs = initialServiceMs;

	return {
		meanMs: () => meanMs,
		ofKindMs(kind) {
			const time = kind === undefined || byKind.size < 2 ? undefined : byKind.get(kind);
			return time === undefined || time.answers < minAnswers ? meanMs : time.serviceMs;
		},
		record(kind, tookMs) {
			meanMs += serviceTimeWeight * (tookMs - meanMs);
			if (kind === undefined || (byKind.size === maxKinds && !byKind.has(kind))) {
				return;
			}

			const time = byKind.get(kind) ?? {answers: 0, serviceMs: 0};
			byKind.set(kind, time);
			time.answers++;
			time.serviceMs += Math.max(serviceTimeWeight, 1 / time.answers) * (tookMs - time.serviceMs);
		},
	};
};
