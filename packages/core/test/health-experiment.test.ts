import {expect} from 'chai';
import {
	comparePolicies, fleetProfiles, stallThresholdMs, type FaultKind,
} from './support/health-experiment.ts';

const seeds = [21];
const cycles = 3;
const hoursPerDay = 24;
const kinds: readonly FaultKind[] = ['stall', 'errors', 'half'];

describe('ejection of failing instances compared with the naive policy over the same seeded runs', function () {
	this.timeout(180_000);
	for (const profile of fleetProfiles) {
		for (const kind of kinds) {
			it(`detects every fault, within twice the bound on average, with fewer requests lost and no more false ejections than accepted (${profile.name}, ${kind})`, () => {
				const [fleet, ...naive] = comparePolicies(profile, kind, seeds, cycles);
				const allowedMs = (2 * fleet!.boundMs) + (kind === 'stall' ? stallThresholdMs : 0);
				expect(fleet!.allMeanMs, 'mean time until no entry sends new requests').to.be.at.most(allowedMs);
				expect(fleet!.missed).to.equal(0);
				const accepted = profile.falseEjectionsPerInstanceDay * fleet!.instanceHours / hoursPerDay;
				expect(fleet!.falsePerInstanceHour * fleet!.instanceHours, 'false ejections').to.be.at.most(Math.ceil(accepted));
				for (const other of naive) {
					expect(fleet!.allP50Ms, other.name).to.be.below(other.allP50Ms);
					expect(fleet!.allP99Ms, other.name).to.be.below(other.allP99Ms);
					expect(fleet!.requestsLost, other.name).to.be.below(other.requestsLost);
				}
			});
		}
	}
});
