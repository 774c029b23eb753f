/** Draws random loads for the search for loads under which too few sound instances get requests. */

import {createRandom, sampleItems, type Random} from '@egretwing/core';
import type {
	Episodes, FailureMode, FleetLoad, Fault,
} from './fleet-load.ts';

const lengthMs = 18_000;
/** Requests per instance and second: on a large site at least as many as on the users' sites, with some more or fewer instances. */
const minPerInstance = 1.2;
const maxPerInstance = 3;
const dataCentres = ['a', 'b', 'c', 'd'] as const;

/** Maximum number of faults in one load; some of them overlap. */
const maxFaults = 8;
/** Range of the start of faults, and of the duration of those that end. */
const firstFaultMs = 1500;
const lastFaultMs = 14_000;
const minFaultMs = 2000;
const maxFaultMs = 9000;

type Span = Pick<Fault, 'fromMs' | 'untilMs'>;

const between = (random: Random, low: number, high: number): number => low + (random.next() * (high - low));

const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random.next() * items.length)]!;

const failureModes: readonly FailureMode[] = ['reset', 'lost-answer', 'error', 'hang', 'shed'];

const lasting = ({fromMs}: Span): Span => ({fromMs, untilMs: Number.POSITIVE_INFINITY});

/** Draw functions, of which each is used at most once per load. */
const faultDrawers: ReadonlyArray<(random: Random, span: Span) => Fault> = [
	(random, span) => ({
		...span, type: 'failing', mode: pick(random, failureModes), instanceShare: between(random, 0.05, 0.2), requestShare: between(random, 0.4, 0.75),
	}),
	(random, span) => ({
		...span, type: 'failing', mode: pick(random, ['reset', 'lost-answer', 'hang']), instanceShare: between(random, 0.35, 0.7), requestShare: between(random, 0.02, 0.4),
	}),
	(random, span) => ({
		...span, type: 'slow', instanceShare: between(random, 0.1, 0.4), factor: between(random, 3, 12),
	}),
	(random, span) => ({...span, type: 'silent', instanceShare: between(random, 0.1, 0.4)}),
	(random, span) => ({...span, type: 'down', instanceShare: between(random, 0.1, 0.25)}),
	(random, span) => ({
		...span, type: 'flapping', instanceShare: between(random, 0.08, 0.2), turnMs: between(random, 1000, 1600),
	}),
	(random, span) => ({
		...lasting(span),
		type: 'replaced',
		instanceShare: between(random, 0.1, 0.4),
		unlistedAfterMs: between(random, 1000, 5000),
		replacedShare: between(random, 0, 1),
		joinAfterMs: between(random, 0, 1500),
	}),
	(random, span) => ({
		...lasting(span), type: 'leaving', instanceShare: between(random, 0.08, 0.25), servesMs: between(random, 2500, 5000),
	}),
	(random, span) => ({...lasting(span), type: 'joining', instanceShare: between(random, 0.1, 0.35)}),
	(random, span) => ({
		...span, type: 'cut', instanceShare: between(random, 0.2, 0.6), gatewayShare: between(random, 0.15, 0.5), lossShare: pick(random, [1, 1, 0.3]),
	}),
	(random, span) => ({
		...span, type: 'cut', instanceShare: 1, gatewayShare: between(random, 0.1, 0.4), lossShare: between(random, 0.1, 0.3),
	}),
];

/**
 * Draws overlapping faults as in the fault schedules of the larger sites: instances lost first, then failures, lost paths and
 * lost answers at the same time, while instances join and leave.
 */
const drawOverlappingFaults = (random: Random): readonly Fault[] => {
	const span = (fromMs: number, forMs: number): Span => {
		const startMs = between(random, fromMs - 1500, fromMs + 1500);
		return {fromMs: startMs, untilMs: startMs + (forMs * between(random, 0.7, 1.3))};
	};

	const failing = (fromMs: number): Fault => ({
		...span(fromMs, 5000), type: 'failing', mode: pick(random, ['reset', 'error', 'hang']), instanceShare: between(random, 0.06, 0.1), requestShare: between(random, 0.45, 0.75),
	});
	const all: readonly Fault[] = [
		{
			...lasting(span(5500, 0)),
			type: 'replaced',
			instanceShare: between(random, 0.1, 0.35),
			unlistedAfterMs: between(random, 2500, 4500),
			replacedShare: 1,
			joinAfterMs: between(random, 0, 2000),
		},
		{
			...lasting(span(5700, 0)), type: 'replaced', instanceShare: between(random, 0.08, 0.16), unlistedAfterMs: between(random, 2500, 4500), replacedShare: 0, joinAfterMs: 0,
		},
		failing(9000),
		failing(11_000),
		{
			...span(10_000, 8000), type: 'cut', instanceShare: between(random, 0.3, 0.5), gatewayShare: 0.2, lossShare: 1,
		},
		{...lasting(span(10_300, 0)), type: 'joining', instanceShare: between(random, 0.1, 0.3)},
		{
			...span(11_500, 5500), type: 'flapping', instanceShare: between(random, 0.08, 0.14), turnMs: between(random, 1000, 1600),
		},
		{
			...span(13_000, 4000), type: 'failing', mode: 'lost-answer', instanceShare: 0.6, requestShare: between(random, 0.25, 0.4),
		},
		{
			...span(14_000, 3500), type: 'cut', instanceShare: 1, gatewayShare: between(random, 0.1, 0.2), lossShare: 0.12,
		},
		{
			...lasting(span(14_500, 0)), type: 'leaving', instanceShare: between(random, 0.08, 0.15), servesMs: 3500,
		},
		{
			...span(14_500, 3500), type: 'slow', instanceShare: between(random, 0.13, 0.18), factor: between(random, 3, 4.5),
		},
	];
	return all.filter(() => random.next() < 0.85);
};

const drawEpisodes = (random: Random): Episodes => ({
	instanceShare: 0.3,
	periodMs: between(random, 9000, 12_000),
	lengthMs: between(random, 2000, 4000),
	failingShare: between(random, 0.7, 0.9),
	mode: pick(random, ['reset', 'reset', 'reset', 'hang', 'error']),
	isDrawnAnew: random.next() < 0.5,
});

const drawSpan = (random: Random): Span => {
	const fromMs = between(random, firstFaultMs, lastFaultMs);
	return {fromMs, untilMs: fromMs + between(random, minFaultMs, maxFaultMs)};
};

/** Draws the load of a seed. Regression tests name loads by their seed, so the order of the draws must not change. */
export const drawLoad = (seed: number): FleetLoad => {
	const random = createRandom(seed);
	const names = dataCentres.slice(0, 3 + Math.floor(random.next() * 2));
	const isLarge = random.next() < 0.75;
	const perDataCentre = isLarge ? between(random, 25, 75) : between(random, 4, 8);
	const slots = pick(random, [2, 4]);
	const serviceMs = between(random, 210, 450);
	const instances = Object.fromEntries(names.map(name => [name, Math.round(perDataCentre * between(random, 0.85, 1.15))]));
	const count = Object.values(instances).reduce((sum, each) => sum + each, 0);
	const faults = random.next() < 0.5
		? drawOverlappingFaults(random)
		: sampleItems(faultDrawers, 2 + Math.floor(random.next() * (maxFaults - 1)), random).map(draw => draw(random, drawSpan(random)));
	const objectiveMs = serviceMs * between(random, 3.5, 5);
	return {
		seed,
		lengthMs,
		gateways: Object.fromEntries(names.map(name => [name, isLarge ? 2 : 1])),
		instances,
		slots,
		queueLength: slots * 4,
		perSecond: count * between(random, minPerInstance, maxPerInstance),
		serviceMs,
		serviceSpread: 0.8,
		objectiveMs,
		timeoutMs: objectiveMs * between(random, 1.6, 2.6),
		errorShare: 0.012,
		episodes: drawEpisodes(random),
		faults: faults.toSorted((left, right) => left.fromMs - right.fromMs),
		...(random.next() < 0.3 && {stale: {...drawSpan(random), gatewayShare: 0.35}}),
		...(random.next() < 0.2 && {repeating: {...drawSpan(random), requestShare: 0.3, times: 3}}),
		...(random.next() < 0.2 && {burst: {...drawSpan(random), factor: between(random, 1.3, 1.7)}}),
		...(random.next() < 0.15 && {lostAtMs: lengthMs}),
		...(random.next() < 0.5 && {notices: {pauseMs: between(random, 600, 4000), unregisteredShare: 0.5}}),
	};
};
