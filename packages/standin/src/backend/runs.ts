/** Records every run of work that has an id, so that work that ran twice is detected. */

import type {Run} from './types.ts';

/** Maximum number of runs kept; the oldest are dropped. */
const maxRuns = 200_000;

/** Runs of all instances of one process. */
export type RunLog = {
	readonly add: (run: Run) => void;
	readonly runs: () => readonly Run[];
	/** Work ids that ran more than once, with their number of runs. */
	readonly repeated: () => Readonly<Record<string, number>>;
};

/** Creates an empty log. */
export const createRunLog = (): RunLog => {
	const runs: Run[] = [];
	return {
		add(run) {
			runs.push(run);
			if (runs.length > maxRuns) {
				runs.shift();
			}
		},
		runs: () => runs,
		repeated() {
			const counts = new Map<string, number>();
			for (const {workId} of runs) {
				counts.set(workId, (counts.get(workId) ?? 0) + 1);
			}

			return Object.fromEntries([...counts].filter(([, count]) => count > 1));
		},
	};
};
