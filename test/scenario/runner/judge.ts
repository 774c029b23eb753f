/** Judges what was seen. Every judgement gives the flaws it found; none means that the expectation holds. */

import type {Expectation, RouteLine, Scenario} from '../language/types.ts';
import type {
	Observations, Sample, Sending, Work,
} from './observations.ts';

const maxFlaws = 5;

const routeOf = ({routes}: Scenario, path: string): RouteLine | undefined => routes.find(({pathPrefix}) => path.startsWith(pathPrefix));

const wasAnswered = ({sendings, beganAtMs}: Work, withinMs: number): boolean => {
	const last = sendings.at(-1);
	return last?.outcome.type === 'answered'
		&& last.outcome.statusCode === 200
		&& last.outcome.flaw === ''
		&& last.endedAtMs - beganAtMs <= withinMs;
};

const describeOutcome = ({outcome}: Sending): string => {
	switch (outcome.type) {
		case 'answered': {
			return `status ${outcome.statusCode}${outcome.flaw === '' ? '' : ` (${outcome.flaw})`}`;
		}

		case 'refused': {
			return `${outcome.kind} (${outcome.ran})`;
		}

		case 'lost': {
			return outcome.reason;
		}
	}
};

const describeWork = ({id, sendings, beganAtMs}: Work): string =>
	`${id} (${(sendings.at(-1)?.endedAtMs ?? beganAtMs) - beganAtMs} ms): ${sendings.map(sending => `${sending.hostId} ${describeOutcome(sending)}`).join(', ')}`;

const judgeDoubleRuns = (scenario: Scenario, {runs, works}: Observations): readonly string[] => {
	const atMostOnce = new Set(works.filter(({path}) => routeOf(scenario, path)?.semantics === 'at-most-once').map(({id}) => id));
	const seen = new Set<string>();
	const flaws: string[] = [];
	for (const {workId, requestId, instance} of runs) {
		if (atMostOnce.has(workId) && seen.has(workId)) {
			flaws.push(`${workId} ran again as ${requestId} at ${instance}`);
		}

		seen.add(workId);
	}

	return flaws;
};

const judgeNotRun = (works: readonly Work[], runs: Observations['runs']): readonly string[] => {
	const ran = new Set(runs.map(({requestId}) => requestId));
	return works.flatMap(({sendings}) => sendings)
		.filter(({requestId, outcome}) => outcome.type === 'refused' && outcome.ran === 'not-run' && ran.has(requestId))
		.map(sending => `${sending.requestId} ran and was refused as not run: ${describeOutcome(sending)}`);
};

const judgeAnswers = (works: readonly Work[]): readonly string[] => works.flatMap(({sendings}) => sendings)
	.filter(({outcome}) => outcome.type === 'answered' && outcome.flaw !== '')
	.map(sending => `${sending.requestId}: ${describeOutcome(sending)}`);

const judgeShare = (expectation: Extract<Expectation, {type: 'answered'}>, {works, startedAtMs}: Observations): readonly string[] => {
	const begun = works.filter(({path, purpose, beganAtMs}) => purpose === 'load'
		&& path === expectation.path
		&& beganAtMs >= startedAtMs + expectation.fromMs
		&& beganAtMs < startedAtMs + expectation.untilMs);
	const unanswered = begun.filter(work => !wasAnswered(work, expectation.withinMs));
	const isEnough = begun.length > 0 && (begun.length - unanswered.length) / begun.length >= expectation.share;
	return isEnough ? [] : [`${begun.length - unanswered.length} of ${begun.length} answered`, ...unanswered.map(work => describeWork(work))];
};

const judgeEjection = (expectation: Extract<Expectation, {type: 'ejected'}>, {samples, faultAtMs}: Observations): readonly string[] => {
	const fromMs = faultAtMs.get(expectation.instance) ?? 0;
	const first = samples.find(({atMs, ejected}) => atMs >= fromMs && ejected?.includes(expectation.instance));
	if (!first) {
		return [`${expectation.instance} was not ejected`];
	}

	return first.atMs - fromMs <= expectation.withinMs ? [] : [`ejected only after ${first.atMs - fromMs} ms`];
};

const judgeNeverEjected = (instances: readonly string[], samples: readonly Sample[]): readonly string[] =>
	instances.filter(instance => samples.some(({ejected}) => ejected?.includes(instance))).map(instance => `${instance} was ejected`);

const judgeFloor = (scenario: Scenario, service: string, least: number, samples: readonly Sample[]): readonly string[] => {
	const total = scenario.services.find(({name}) => name === service)?.instances ?? 0;
	return samples.flatMap(({hostId, ejected}) => {
		const out = (ejected ?? []).filter(instance => instance.startsWith(`${service}-`)).length;
		return total - out < least ? [`${hostId} held ${out} of ${total} ejected`] : [];
	});
};

const judgeLocated = (expectation: Extract<Expectation, {type: 'located' | 'not-located'}>, {samples, startedAtMs}: Observations): readonly string[] => {
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

const judgeInForce = (expectation: Extract<Expectation, {type: 'in-force'}>, {samples, publishedAtMs, startedAtMs}: Observations): readonly string[] => {
	const fromMs = publishedAtMs.get(expectation.revision);
	if (fromMs === undefined) {
		return [`revision ${expectation.revision} was not published`];
	}

	const untilMs = fromMs + expectation.withinMs;
	const reached = new Set(samples.filter(({atMs, revision}) => atMs <= untilMs && (revision ?? 0) >= expectation.revision).map(({hostId}) => hostId));
	const late = samples.filter(({atMs, hostId, revision}) => atMs > untilMs && revision !== undefined && !reached.has(hostId));
	const flaws = [...new Set(late.map(({hostId}) => hostId))].map(hostId => {
		const first = samples.find(sample => sample.hostId === hostId && (sample.revision ?? 0) >= expectation.revision);
		return `${hostId} ${first ? `at ${first.atMs - startedAtMs} ms only` : 'never'}`;
	});
	return reached.size === 0 ? ['in force nowhere', ...flaws] : flaws;
};

const judgeNeverBack = ({samples, startedAtMs}: Observations): readonly string[] => {
	const highest = new Map<string, number>();
	const flaws: string[] = [];
	for (const {hostId, revision, atMs} of samples) {
		if (revision === undefined) {
			continue;
		}

		const before = highest.get(hostId) ?? 0;
		if (revision < before) {
			flaws.push(`${hostId} went back from ${before} to ${revision} at ${atMs - startedAtMs} ms`);
		}

		highest.set(hostId, Math.max(before, revision));
	}

	return highest.size === 0 ? ['no entry said what is in force'] : flaws;
};

const judgeEnded = (expectation: Extract<Expectation, {type: 'ended'}>, {exits}: Observations): readonly string[] => {
	const parts = expectation.part === 'both' ? ['agent', 'entry'] : [expectation.part];
	return parts.flatMap(part => {
		const name = `${part}-${hostIdOf(expectation.host)}`;
		const exit = exits.find(({process}) => process === name);
		if (!exit) {
			return [`${name} still runs`];
		}

		return exit.code === 0 ? [] : [`${name} ended with ${exit.code ?? exit.signal}`];
	});
};

const judgeTransfers = ({transfers}: Observations): readonly string[] => {
	const flaws = transfers.filter(({flaw}) => flaw !== '').map(({title, hostId, flaw}) => `${title} through ${hostId}: ${flaw}`);
	return transfers.length === 0 ? ['nothing was transferred'] : flaws;
};

const judgeNewWork = (instance: string, fromMs: number, {instances, startedAtMs}: Observations): readonly string[] => {
	const lastMs = (instances[instance]?.lastRequestAtMs ?? 0) - startedAtMs;
	return lastMs <= fromMs ? [] : [`new work still at ${lastMs} ms`];
};

/** An instance that was asked for nothing has said nothing, and got no work. */
const judgeNewWorkAfterWord = (instance: string, afterMs: number, {instances}: Observations): readonly string[] => {
	const {firstRefusedDrainingAtMs = 0, lastRequestAtMs = 0} = instances[instance] ?? {};
	const laterMs = lastRequestAtMs - firstRefusedDrainingAtMs;
	return firstRefusedDrainingAtMs === 0 || laterMs <= afterMs ? [] : [`new work still ${laterMs} ms after its word`];
};

const judgeAtMost = (count: number, atMost: number): readonly string[] => count <= atMost ? [] : [`${count} instead`];

/** The id of the entry host with that number. */
export const hostIdOf = (host: number): string => `entry-host-${host}`;

const judgeAll = (scenario: Scenario, expectation: Expectation, observations: Observations): readonly string[] => {
	const {works, runs, samples, instances} = observations;
	switch (expectation.type) {
		case 'no-double-run': {
			return judgeDoubleRuns(scenario, observations);
		}

		case 'not-run-true': {
			return judgeNotRun(works, runs);
		}

		case 'whole-and-own': {
			return judgeAnswers(works);
		}

		case 'transfers-whole': {
			return judgeTransfers(observations);
		}

		case 'answered': {
			return judgeShare(expectation, observations);
		}

		case 'ejected': {
			return judgeEjection(expectation, observations);
		}

		case 'not-ejected': {
			return judgeNeverEjected(expectation.instances, samples);
		}

		case 'floor': {
			return judgeFloor(scenario, expectation.service, expectation.instances, samples);
		}

		case 'no-new-work': {
			return judgeNewWork(expectation.instance, expectation.fromMs, observations);
		}

		case 'no-new-work-after-word': {
			return judgeNewWorkAfterWord(expectation.instance, expectation.afterMs, observations);
		}

		case 'located':
		case 'not-located': {
			return judgeLocated(expectation, observations);
		}

		case 'in-force': {
			return judgeInForce(expectation, observations);
		}

		case 'never-back': {
			return judgeNeverBack(observations);
		}

		case 'crashes': {
			const crashes = Object.values(instances).reduce((total, {crashes: count}) => total + count, 0);
			return judgeAtMost(crashes, expectation.atMost);
		}

		case 'ended': {
			return judgeEnded(expectation, observations);
		}

		case 'reads': {
			return judgeAtMost(observations.platformReads, expectation.atMost);
		}
	}
};

/** The flaws found, the first few of them. */
export const judge = (scenario: Scenario, expectation: Expectation, observations: Observations): readonly string[] =>
	judgeAll(scenario, expectation, observations).slice(0, maxFlaws);
