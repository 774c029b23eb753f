import {expect} from 'chai';
import fc from 'fast-check';
import {floorCount} from '../src/health/floor.ts';
import {
	createFleetPolicy, runModel, type ModelConfig, type ModelPolicy,
} from './support/health-model.ts';

const fcSeed = 77;
const msPerSecond = 1000;
const durationMs = 50 * msPerSecond;
const settledFromMs = 42 * msPerSecond;
const settleDurationMs = 5 * msPerSecond;

type Fault = {
	readonly instance: number;
	readonly entryBits: number;
	readonly kind: 'stall' | 'errors' | 'half' | 'flap';
	readonly fromMs: number;
};

const fault = fc.record<Fault>({
	instance: fc.nat(9),
	// Bit mask of the entries that see the fault; 15 is all four.
	entryBits: fc.constantFrom(15, 15, 3, 5, 9, 7),
	kind: fc.constantFrom('stall', 'errors', 'half', 'flap'),
	fromMs: fc.integer({min: 5000, max: 30_000}),
});

const runs = fc.record({
	seed: fc.nat(1_000_000),
	floorShare: fc.constantFrom(0.5, 0.8, 0.9),
	faults: fc.array(fault, {minLength: 1, maxLength: 8}),
	/** Bit mask of the entries on one side of a network partition, and when it begins. */
	partitionBits: fc.nat(15),
	partitionFromMs: fc.integer({min: 5000, max: 20_000}),
	pausedEntry: fc.nat(4),
});

const hasBit = (bits: number, index: number): boolean => Math.floor(bits / (2 ** index)) % 2 === 1;

const isActive = ({kind, fromMs}: Fault, nowMs: number): boolean =>
	nowMs >= fromMs && (kind !== 'flap' || Math.floor((nowMs - fromMs) / 4000) % 2 === 0);

type Run = {
	readonly seed: number;
	readonly floorShare: number;
	readonly faults: readonly Fault[];
	readonly partitionBits: number;
	readonly partitionFromMs: number;
	readonly pausedEntry: number;
};

const configOf = (run: Run): ModelConfig => ({
	seed: run.seed,
	entryCount: 4,
	instanceCount: 10,
	requestsPerSecond: 150,
	idempotentShare: 0.5,
	floorShare: run.floorShare,
	falseEjectionsPerInstanceDay: 1,
	stallThresholdMs: 1000,
	durationMs,
	onsets: [],
	isFaulty: () => false,
	behaviour(instance, entry, nowMs) {
		const active = run.faults.find(some => some.instance === instance && hasBit(some.entryBits, entry) && isActive(some, nowMs));
		return {
			failureShare: active?.kind === 'half' ? 0.5 : (active && active.kind !== 'stall' ? 1 : 0.01),
			stallShare: active?.kind === 'stall' ? 1 : 0,
			latencyMs: 20,
		};
	},
	// For odd seeds the partition blocks one direction only.
	isDelivered: (from, to, nowMs) => nowMs < run.partitionFromMs || nowMs >= settledFromMs - settleDurationMs
		|| hasBit(run.partitionBits, from) === hasBit(run.partitionBits, to) || (run.seed % 2 === 1 && hasBit(run.partitionBits, from)),
	isPaused: (entry, nowMs) => entry === run.pausedEntry && nowMs >= 15_000 && nowMs < 25_000,
});

const ids = Array.from({length: 10}, (_, index) => `i${index}`);
const ejectedAt = ({health}: ModelPolicy): readonly string[] => ids.filter(id => health!.standing(id)!.kind === 'ejected');
const unionOf = (entries: readonly ModelPolicy[]): ReadonlySet<string> => new Set(entries.flatMap(entry => ejectedAt(entry)));
const outOfUseAt = ({health}: ModelPolicy): readonly string[] => ids.filter(id => ['ejected', 'avoided'].includes(health!.standing(id)!.kind));
const maxOutOfUse = (entries: readonly ModelPolicy[]): number => Math.max(...entries.map(entry => outOfUseAt(entry).length));

describe('floor of instances in use', () => {
	it('is kept by every entry at all times, and by all entries together once they have exchanged reports', function () {
		this.timeout(120_000);
		let ejections = 0;
		fc.assert(fc.property(runs, run => {
			const floor = floorCount(ids.length, run.floorShare);
			runModel(configOf(run), createFleetPolicy, (entries, nowMs) => {
				if (nowMs % 100 !== 0) {
					return;
				}

				expect(ids.length - maxOutOfUse(entries), `instances in use at one entry at ${nowMs}`).to.be.at.least(floor);
				if (nowMs < settledFromMs) {
					return;
				}

				const union = unionOf(entries);
				ejections += union.size;
				expect(ids.length - union.size, `instances that no entry ejects at ${nowMs}`).to.be.at.least(floor);
			});
		}), {seed: fcSeed, numRuns: 25, endOnFailure: true});
		expect(ejections).to.be.above(0);
	});
});
