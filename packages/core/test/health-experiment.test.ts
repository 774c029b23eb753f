import {expect} from 'chai';
import {
	compare, dials, stallThresholdMs, type FaultKind,
} from './support/health-experiment.ts';

const seeds = [21];
const cycles = 3;
const hoursPerDay = 24;
const kinds: readonly FaultKind[] = ['stall', 'errors', 'half'];

describe('detection and false ejections beside the naive version, same seeded runs', function () {
	this.timeout(180_000);
	for (const dial of dials) {
		for (const kind of kinds) {
			it(`${dial.name}, ${kind}: within 2 times the bound, fewer lost, none missed`, () => {
				const [ours, ...naive] = compare(dial, kind, seeds, cycles);
				const allowedMs = (2 * ours!.boundMs) + (kind === 'stall' ? stallThresholdMs : 0);
				expect(ours!.allMeanMs, 'mean until every entry sends elsewhere').to.be.at.most(allowedMs);
				expect(ours!.missed).to.equal(0);
				const accepted = dial.falseEjectionsPerInstanceDay * ours!.instanceHours / hoursPerDay;
				expect(ours!.falsePerInstanceHour * ours!.instanceHours, 'false ejections').to.be.at.most(Math.ceil(accepted));
				for (const other of naive) {
					expect(ours!.allP50Ms, other.name).to.be.below(other.allP50Ms);
					expect(ours!.allP99Ms, other.name).to.be.below(other.allP99Ms);
					expect(ours!.lost, other.name).to.be.below(other.lost);
				}
			});
		}
	}
});
