/** Parses the text of a scenario. */

import {Err, Ok, type Result} from 'ts-results-es';
import {readAction} from './actions.ts';
import {readExpectation} from './expectations.ts';
import {createSentence, readFirst, type Sentence} from './template.ts';
import type {
	ExpectationLine, LoadLine, RouteLine, Scenario, ScenarioError, ServiceLine, Step,
} from './types.ts';

const defaultServiceTimeMs = 4;
const defaultTimeoutMs = 4000;
const defaultTailMs = 1000;
const percent = 100;

type SettingLine = {readonly service: string; readonly field: string; readonly value: number};

type Line
	= | {readonly type: 'fleet'; readonly hosts: number; readonly dataCentres: number}
		| {readonly type: 'lasts'; readonly durationMs: number}
		| {readonly type: 'service'; readonly service: ServiceLine}
		| {readonly type: 'setting'; readonly setting: SettingLine}
		| {readonly type: 'route'; readonly route: RouteLine}
		| {readonly type: 'load'; readonly load: LoadLine}
		| {readonly type: 'steps'; readonly steps: ReadonlyArray<Omit<Step, 'lineNumber'>>}
		| {readonly type: 'expectation'; readonly expectation: ExpectationLine['expectation']};

const setting = (service: string, field: string, value: number): Line => ({type: 'setting', setting: {service, field, value}});

const keyUse = (hasWords: (words: string) => boolean): LoadLine['keys'] => {
	if (hasWords(' with plain keys')) {
		return 'plain';
	}

	return hasWords(' with keys') ? 'issued' : 'none';
};

const sentences: ReadonlyArray<Sentence<Line>> = [
	createSentence('fleet of {hosts:int} entry hosts in {dataCentres:int} data centres', ({hosts, dataCentres}) => ({type: 'fleet', hosts, dataCentres})),
	createSentence('the scenario lasts {duration:duration}', ({duration}) => ({type: 'lasts', durationMs: duration})),
	createSentence(
		'service {name:name} with {instances:int} instances of {slots:int} slots [taking {time:duration}]',
		({
			name, instances, slots, time,
		}) => ({
			type: 'service', service: {
				name, instances, slots, serviceTimeMs: time ?? defaultServiceTimeMs, record: {},
			},
		}),
	),
	createSentence('service {name:name} keeps a floor of {share:number} percent', ({name, share}) => setting(name, 'floorShare', share / percent)),
	createSentence(
		'service {name:name} accepts {rate:number} false ejections an instance and day',
		({name, rate}) => setting(name, 'falseEjectionsPerInstanceDay', rate),
	),
	createSentence('service {name:name} requests time out after {time:duration}', ({name, time}) => setting(name, 'requestTimeoutMs', time)),
	createSentence('service {name:name} stalls show after {time:duration}', ({name, time}) => setting(name, 'stallThresholdMs', time)),
	createSentence('route {path:path} to {service:name} {semantics:semantics}', ({path, service, semantics}) => ({
		type: 'route', route: {pathPrefix: path, service, semantics: semantics as RouteLine['semantics']},
	})),
	createSentence(
		// eslint-disable-next-line @stylistic/max-len
		'callers send {rate:number} {method:method} {path:path} a second [with keys] [with plain keys] [and resend on failure] [giving up after {timeout:duration}] [from {from:duration}] [until {until:duration}]',
		({
			rate, method, path, timeout, from, until,
		}, hasWords) => ({
			type: 'load', load: {
				ratePerSecond: rate,
				method,
				path,
				keys: keyUse(hasWords),
				resend: hasWords(' and resend on failure'),
				timeoutMs: timeout ?? defaultTimeoutMs,
				fromMs: from ?? 0,
				untilMs: until ?? Infinity,
			},
		}),
	),
];

const timePrefix = createSentence('at {time:duration}', ({time}) => time);
const timedRegex = /^(?<prefix>at \S+ m?s) (?<rest>.+)$/v;
const expectRegex = /^expect (?<rest>.+)$/v;

const readTimed: Sentence<Line> = text => {
	const match = timedRegex.exec(text);
	const atMs = match ? timePrefix(match.groups!.prefix!) : undefined;
	const timed = match ? readAction(match.groups!.rest!) : undefined;
	if (atMs === undefined || !timed) {
		return undefined;
	}

	const {action, end} = timed;
	return {type: 'steps', steps: [{atMs, action}, ...(end ? [{atMs: atMs + end.afterMs, action: end.action}] : [])]};
};

const readExpected: Sentence<Line> = text => {
	const match = expectRegex.exec(text);
	const expectation = match ? readExpectation(match.groups!.rest!) : undefined;
	return expectation && {type: 'expectation', expectation};
};

const readLine: Sentence<Line> = text => readFirst([...sentences, readTimed, readExpected], text);

type Draft = {
	fleet: {readonly hosts: number; readonly dataCentres: number} | undefined;
	durationMs: number | undefined;
	readonly services: Map<string, ServiceLine>;
	readonly routes: RouteLine[];
	readonly loads: LoadLine[];
	readonly steps: Step[];
	readonly expectations: ExpectationLine[];
};

/** Adds a line to the draft; returns an error message when it refers to something that is not declared. */
const addLine = (draft: Draft, line: Line, lineNumber: number, text: string): string | undefined => {
	switch (line.type) {
		case 'fleet': {
			draft.fleet = line;
			return undefined;
		}

		case 'lasts': {
			draft.durationMs = line.durationMs;
			return undefined;
		}

		case 'service': {
			draft.services.set(line.service.name, line.service);
			return undefined;
		}

		case 'setting': {
			const {service, field, value} = line.setting;
			const existing = draft.services.get(service);
			if (!existing) {
				return `no service named ${service} above`;
			}

			draft.services.set(service, {...existing, record: {...existing.record, [field]: value}});
			return undefined;
		}

		case 'route': {
			draft.routes.push(line.route);
			return draft.services.has(line.route.service) ? undefined : `no service named ${line.route.service} above`;
		}

		case 'load': {
			draft.loads.push(line.load);
			return draft.routes.some(({pathPrefix}) => line.load.path.startsWith(pathPrefix)) ? undefined : `no route for ${line.load.path} above`;
		}

		case 'steps': {
			draft.steps.push(...line.steps.map(step => ({...step, lineNumber})));
			return checkStep(draft, line.steps[0]!.action);
		}

		case 'expectation': {
			draft.expectations.push({lineNumber, text, expectation: line.expectation});
			return undefined;
		}
	}
};

const checkStep = (draft: Draft, action: Step['action']): string | undefined => {
	if ('host' in action && action.host > (draft.fleet?.hosts ?? 0)) {
		return `no entry host ${action.host} in the fleet`;
	}

	if (action.type !== 'fault') {
		return undefined;
	}

	const unknown = action.targets.find(target => !isTarget(draft, target));
	return unknown === undefined ? undefined : `no instance or service named ${unknown} above`;
};

const isTarget = ({services}: Draft, target: string): boolean => {
	if (services.has(target)) {
		return true;
	}

	const dash = target.lastIndexOf('-');
	const number = Number(target.slice(dash + 1));
	return number >= 1 && number <= (services.get(target.slice(0, dash))?.instances ?? 0);
};

/** Parses a scenario; the error lists every invalid line. */
export const parseScenario = (text: string): Result<Scenario, readonly ScenarioError[]> => {
	const draft: Draft = {
		fleet: undefined, durationMs: undefined, services: new Map(), routes: [], loads: [], steps: [], expectations: [],
	};
	const errors: ScenarioError[] = [];
	for (const [index, sourceLine] of text.split('\n').entries()) {
		const lineText = sourceLine.replace(/#.*$/v, '').trim();
		if (lineText === '') {
			continue;
		}

		const lineNumber = index + 1;
		const line = readLine(lineText);
		const message = line ? addLine(draft, line, lineNumber, lineText) : `not understood: ${lineText}`;
		if (message !== undefined) {
			errors.push({lineNumber, message});
		}
	}

	if (!draft.fleet) {
		errors.push({lineNumber: 1, message: 'expected "fleet of N entry hosts in M data centres"'});
	}

	if (errors.length > 0 || !draft.fleet) {
		return Err(errors);
	}

	const lastStepMs = Math.max(0, ...draft.steps.map(({atMs}) => atMs));
	return Ok({
		...draft.fleet,
		durationMs: draft.durationMs ?? lastStepMs + defaultTailMs,
		services: [...draft.services.values()],
		routes: draft.routes,
		loads: draft.loads,
		steps: draft.steps.toSorted((a, b) => a.atMs - b.atMs),
		expectations: draft.expectations,
	});
};
