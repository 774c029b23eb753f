import {expect} from 'chai';
import {createConfigDoubt} from '../src/config-doubt.ts';

/** Versions that a peer names, once a second from the start of the test; another names that in force. */
type Named = (second: number) => number;

describe('doubt about the configuration in force', () => {
	const ownVersion = 5;
	const cases: ReadonlyArray<readonly [title: string, named: Named, doubtfulUntilSecond: number]> = [
		['is none while peers name the same version', () => ownVersion, 0],
		['is none while peers name older versions', () => ownVersion - 1, 0],
		['ends 3 s after a newer version was named for the last time', second => second < 2 ? 6 : ownVersion, 4],
		['ends 15 s after a newer version was named first, though a peer goes on naming it', () => 6, 15],
	];
	for (const [title, named, doubtfulUntilSecond] of cases) {
		it(title, () => {
			const doubt = createConfigDoubt();
			doubt.noteRead();
			const doubtful = Array.from({length: 60}, (_, second) => second).filter(second => {
				for (const configVersion of [named(second), ownVersion]) {
					doubt.noteMessage({type: 'compare', digest: {configVersion, instances: 0, instancesAsOf: 0}}, second * 1000);
				}

				return doubt.isDoubtful(ownVersion, second * 1000);
			});
			expect(doubtful).to.deep.equal(Array.from({length: doubtfulUntilSecond}, (_, second) => second));
		});
	}
});
