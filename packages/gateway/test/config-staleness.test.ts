import {expect} from 'chai';
import {createConfigStaleness} from '../src/config-staleness.ts';

/** Version that one peer names in each second since the start of the test; another peer names the version in force. */
type VersionBySecond = (second: number) => number;

describe('suspected staleness of the configuration in force', () => {
	const ownVersion = 5;
	const cases: ReadonlyArray<readonly [title: string, named: VersionBySecond, staleUntilSecond: number]> = [
		['is not raised while peers name the same version', () => ownVersion, 0],
		['is not raised while peers name older versions', () => ownVersion - 1, 0],
		['ends 3 s after a peer last named a newer version', second => second < 2 ? 6 : ownVersion, 4],
		['ends 15 s after a peer first named a newer version, even if it keeps naming it', () => 6, 15],
	];
	for (const [title, named, staleUntilSecond] of cases) {
		it(title, () => {
			const staleness = createConfigStaleness();
			staleness.recordRead();
			const staleSeconds = Array.from({length: 60}, (_, second) => second).filter(second => {
				for (const configVersion of [named(second), ownVersion]) {
					staleness.recordMessage({type: 'compare', digest: {configVersion, instances: 0, instancesAsOf: 0}}, second * 1000);
				}

				return staleness.isPossiblyStale(ownVersion, second * 1000);
			});
			expect(staleSeconds).to.deep.equal(Array.from({length: staleUntilSecond}, (_, second) => second));
		});
	}
});
