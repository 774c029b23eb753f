/** Explains to operators why each instance is used, spared, avoided, ejected or leaving. */

import type {Explanation} from '@egretwing/core';
import type {HealthMonitor} from './health.ts';

/** Response of `GET /v1/explain?service=NAME&instance=ID`. */
export type HealthExplanation = {
	readonly instances: readonly Explanation[];
	/** The same in human-readable form, one line for each instance. */
	readonly lines: readonly string[];
};

const describeStanding = ({standing}: Explanation): string =>
	standing.kind === 'use' && standing.weight < 1 ? `use (slow start, weight ${standing.weight.toFixed(2)})` : standing.kind;

const toLine = (explanation: Explanation): string => {
	const {
		instanceId, reason, score, localScore, threshold, failingAt, provenCount, floorCount, listedCount,
	} = explanation;
	const where = failingAt.length > 0 ? `, failures seen at ${failingAt.join(' ')}` : '';
	return `${instanceId}: ${describeStanding(explanation)}: ${reason}; score ${score.toFixed(1)} (here ${localScore.toFixed(1)}) of ${threshold.toFixed(1)}${where}; `
		+ `${provenCount} of ${listedCount} proven healthy, floor ${floorCount}`;
};

/** Explains all instances of the service that `query` names, or only the named instance. */
export const explainHealth = (health: Pick<HealthMonitor, 'explain'>, query: URLSearchParams): HealthExplanation => {
	const instances = health.explain(query.get('service') ?? '', query.get('instance') ?? undefined);
	const lines = instances.map(explanation => toLine(explanation));
	return {instances, lines: lines.length > 0 ? lines : ['no request of this service has come through this entry yet']};
};
