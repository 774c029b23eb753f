/** Checks the observations of a run. Each check returns the failures that it found; none means that the expectation is met. */

import type {Expectation, RouteLine, Scenario} from '../language/types.ts';
import type {
	Attempt, Observations, Sample, Work,
} from './observations.ts';

const maxFailures = 5;

const routeOf = ({routes}: Scenario, path: string): RouteLine | undefined => routes.find(({pathPrefix}) => path.startsWith(pathPrefix));

const wasAnswered = ({attempts, beganAtMs}: Work, withinMs: number): boolean => {
	const last = attempts.at(-1);
	return last?.outcome.type === 'answered'
		&& last.outcome.statusCode === 200
		&& last.outcome.failure === ''
		&& last.endedAtMs - beganAtMs <= withinMs;
};

const describeOutcome = ({outcome}: Attempt): string => {
	switch (outcome.type) {
		case 'answered': {
			return `status ${outcome.statusCode}${outcome.failure === '' ? '' : ` (${outcome.failure})`}`;
		}

		case 'refused': {
			return `${outcome.kind} (${outcome.ran})`;
		}

		case 'lost': {
			return outcome.reason;
		}
	}
};

const describeWork = ({id, attempts, beganAtMs}: Work): string =>
	`${id} (${(attempts.at(-1)?.endedAtMs ?? beganAtMs) - beganAtMs} ms): ${attempts.map(attempt => `${attempt.hostId} ${describeOutcome(attempt)}`).join(', ')}`;

const checkDoubleRuns = (scenario: Scenario, {runs, works}: Observations): readonly string[] => {
	const atMostOnce = new Set(works.filter(({path}) => routeOf(scenario, path)?.semantics === 'at-most-once').map(({id}) => id));
	const seen = new Set<string>();
	const failures: string[] = [];
	for (const {workId, requestId, instance} of runs) {
		if (atMostOnce.has(workId) && seen.has(workId)) {
			failures.push(`${workId} ran again as ${requestId} at ${instance}`);
		}

		seen.add(workId);
	}

	return failures;
};

const checkNotRun = (works: readonly Work[], runs: Observations['runs']): readonly string[] => {
	const ran = new Set(runs.map(({requestId}) => requestId));
	return works.flatMap(({attempts}) => attempts)
		.filter(({requestId, outcome}) => outcome.type === 'refused' && outcome.ran === 'not-run' && ran.has(requestId))
		.map(attempt => `${attempt.requestId} ran and was refused as not run: ${describeOutcome(attempt)}`);
};

const checkAnswers = (works: readonly Work[]): readonly string[] => works.flatMap(({attempts}) => attempts)
	.filter(({outcome}) => outcome.type === 'answered' && outcome.failure !== '')
	.map(attempt => `${attempt.requestId}: ${describeOutcome(attempt)}`);

const checkAnsweredShare = (expectation: Extract<Expectation, {type: 'answered'}>, {works, startedAtMs}: Observations): readonly string[] => {
	const begun = works.filter(({path, purpose, beganAtMs}) => purpose === 'load'
		&& path === expectation.path
		&& beganAtMs >= startedAtMs + expectation.fromMs
		&& beganAtMs < startedAtMs + expectation.untilMs);
	const unanswered = begun.filter(work => !wasAnswered(work, expectation.withinMs));
	const isEnough = begun.length > 0 && (begun.length - unanswered.length) / begun.length >= expectation.share;
	return isEnough ? [] : [`${begun.length - unanswered.length} of ${begun.length} answered`, ...unanswered.map(work => describeWork(work))];
};

const checkEjection = (expectation: Extract<Expectation, {type: 'ejected'}>, {samples, faultAtMs}: Observations): readonly string[] => {
	const fromMs = faultAtMs.get(expectation.instance) ?? 0;
	const first = samples.find(({atMs, ejected}) => atMs >= fromMs && ejected?.includes(expectation.instance));
	if (!first) {
		return [`${expectation.instance} was not ejected`];
	}

	return first.atMs - fromMs <= expectation.withinMs ? [] : [`ejected only after ${first.atMs - fromMs} ms`];
};

const checkNeverEjected = (instances: readonly string[], samples: readonly Sample[]): readonly string[] =>
	instances.filter(instance => samples.some(({ejected}) => ejected?.includes(instance))).map(instance => `${instance} was ejected`);

const checkFloor = (scenario: Scenario, service: string, minUsable: number, samples: readonly Sample[]): readonly string[] => {
	const total = scenario.services.find(({name}) => name === service)?.instances ?? 0;
	return samples.flatMap(({hostId, ejected}) => {
		const ejectedCount = (ejected ?? []).filter(instance => instance.startsWith(`${service}-`)).length;
		return total - ejectedCount < minUsable ? [`${hostId} had ejected ${ejectedCount} of ${total}`] : [];
	});
};

const checkLocated = (expectation: Extract<Expectation, {type: 'located' | 'not-located'}>, {samples, startedAtMs}: Observations): readonly string[] => {
	const hostId = hostIdOf(expectation.host);
	const later = samples.filter(({atMs, located, hostId: asked}) => located
		&& asked !== hostId
		&& atMs >= startedAtMs + expectation.fromMs
		&& atMs < startedAtMs + expectation.untilMs);
	if (later.length === 0) {
		return ['no agent answered'];
	}

	const wanted = expectation.type === 'located';
	return later.flatMap(({atMs, located, hostId: asked}) => {
		const isNamed = Object.values(located ?? {}).some(hosts => hosts.includes(hostId));
		return isNamed === wanted ? [] : [`at ${atMs - startedAtMs} ms ${asked} ${wanted ? 'did not name' : 'named'} ${hostId}`];
	});
};

const checkInForce = (expectation: Extract<Expectation, {type: 'in-force'}>, {samples, publishedAtMs, startedAtMs}: Observations): readonly string[] => {
	const fromMs = publishedAtMs.get(expectation.revision);
	if (fromMs === undefined) {
		return [`revision ${expectation.revision} was not published`];
	}

	const untilMs = fromMs + expectation.withinMs;
	const reached = new Set(samples.filter(({atMs, revision}) => atMs <= untilMs && (revision ?? 0) >= expectation.revision).map(({hostId}) => hostId));
	const late = samples.filter(({atMs, hostId, revision}) => atMs > untilMs && revision !== undefined && !reached.has(hostId));
	const failures = [...new Set(late.map(({hostId}) => hostId))].map(hostId => {
		const first = samples.find(sample => sample.hostId === hostId && (sample.revision ?? 0) >= expectation.revision);
		return `${hostId} ${first ? `at ${first.atMs - startedAtMs} ms only` : 'never'}`;
	});
	return reached.size === 0 ? ['not in force on any entry in time', ...failures] : failures;
};

const checkRevisionsNeverDecrease = ({samples, startedAtMs}: Observations): readonly string[] => {
	const highest = new Map<string, number>();
	const failures: string[] = [];
	for (const {hostId, revision, atMs} of samples) {
		if (revision === undefined) {
			continue;
		}

		const before = highest.get(hostId) ?? 0;
		if (revision < before) {
			failures.push(`${hostId} went back from ${before} to ${revision} at ${atMs - startedAtMs} ms`);
		}

		highest.set(hostId, Math.max(before, revision));
	}

	return highest.size === 0 ? ['no entry reported its revision'] : failures;
};

const checkExits = (expectation: Extract<Expectation, {type: 'ended'}>, {exits}: Observations): readonly string[] => {
	const parts = expectation.part === 'both' ? ['agent', 'entry'] : [expectation.part];
	return parts.flatMap(part => {
		const name = `${part}-${hostIdOf(expectation.host)}`;
		const exit = exits.find(({process}) => process === name);
		if (!exit) {
			return [`${name} is still running`];
		}

		return exit.code === 0 ? [] : [`${name} exited with ${exit.code ?? exit.signal}`];
	});
};

const checkTransfers = ({transfers}: Observations): readonly string[] => {
	const failures = transfers.filter(({failure}) => failure !== '').map(({title, hostId, failure}) => `${title} through ${hostId}: ${failure}`);
	return transfers.length === 0 ? ['nothing was transferred'] : failures;
};

const checkNewWork = (instance: string, fromMs: number, {instances, startedAtMs}: Observations): readonly string[] => {
	const lastMs = (instances[instance]?.lastRequestAtMs ?? 0) - startedAtMs;
	return lastMs <= fromMs ? [] : [`last request arrived at ${lastMs} ms`];
};

/** An instance that never gave a draining answer has got no request since it drains, and passes. */
const checkNewWorkAfterDraining = (instance: string, afterMs: number, {instances}: Observations): readonly string[] => {
	const {firstRefusedDrainingAtMs = 0, lastRequestAtMs = 0} = instances[instance] ?? {};
	const laterMs = lastRequestAtMs - firstRefusedDrainingAtMs;
	return firstRefusedDrainingAtMs === 0 || laterMs <= afterMs ? [] : [`last request arrived ${laterMs} ms after the first draining answer`];
};

const checkAtMost = (count: number, atMost: number): readonly string[] => count <= atMost ? [] : [`counted ${count}`];

/** Id of the entry host numbered `host`. */
export const hostIdOf = (host: number): string => `entry-host-${host}`;

const findFailures = (scenario: Scenario, expectation: Expectation, observations: Observations): readonly string[] => {
	const {works, runs, samples, instances} = observations;
	switch (expectation.type) {
		case 'no-double-run': {
			return checkDoubleRuns(scenario, observations);
		}

		case 'not-run-true': {
			return checkNotRun(works, runs);
		}

		case 'whole-and-own': {
			return checkAnswers(works);
		}

		case 'transfers-whole': {
			return checkTransfers(observations);
		}

		case 'answered': {
			return checkAnsweredShare(expectation, observations);
		}

		case 'ejected': {
			return checkEjection(expectation, observations);
		}

		case 'not-ejected': {
			return checkNeverEjected(expectation.instances, samples);
		}

		case 'floor': {
			return checkFloor(scenario, expectation.service, expectation.instances, samples);
		}

		case 'no-new-work': {
			return checkNewWork(expectation.instance, expectation.fromMs, observations);
		}

		case 'no-new-work-after-word': {
			return checkNewWorkAfterDraining(expectation.instance, expectation.afterMs, observations);
		}

		case 'located':
		case 'not-located': {
			return checkLocated(expectation, observations);
		}

		case 'in-force': {
			return checkInForce(expectation, observations);
		}

		case 'never-back': {
			return checkRevisionsNeverDecrease(observations);
		}

		case 'crashes': {
			const crashes = Object.values(instances).reduce((total, {crashes: count}) => total + count, 0);
			return checkAtMost(crashes, expectation.atMost);
		}

		case 'ended': {
			return checkExits(expectation, observations);
		}

		case 'reads': {
			return checkAtMost(observations.platformReads, expectation.atMost);
		}
	}
};

/** Returns the first failures of an expectation; empty when it is met. */
export const checkExpectation = (scenario: Scenario, expectation: Expectation, observations: Observations): readonly string[] =>
	findFailures(scenario, expectation, observations).slice(0, maxFailures);
