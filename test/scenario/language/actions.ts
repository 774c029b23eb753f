/** Sentences for actions. A sentence with a duration also yields the action that ends it. */

import type {InstanceFault} from '@egretwing/standin';
import {createSentence, readFirst, type Sentence} from './template.ts';
import type {Action, ProcessPart, RouteLine} from './types.ts';

const percent = 100;
const bytesPerMegabyte = 1_048_576;
const crashRestartMs = 1000;

/** An action and, `end.afterMs` later, the one that ends it. */
export type TimedAction = {
	readonly action: Action;
	readonly end?: {readonly afterMs: number; readonly action: Action};
};

const fault = (targets: readonly string[], what: InstanceFault, durationMs?: number, cutFrom: readonly number[] = []): TimedAction => ({
	action: {
		type: 'fault', targets, fault: what, cutFrom,
	},
	...(durationMs !== undefined && {
		end: {
			afterMs: durationMs, action: {
				type: 'fault', targets, fault: {type: 'ok'}, cutFrom: [],
			},
		},
	}),
});

const partOf = (hasWords: (words: string) => boolean): ProcessPart => {
	if (hasWords('the agent of ')) {
		return 'agent';
	}

	return hasWords('the entry of ') ? 'entry' : 'both';
};

const signals = {kill: 'SIGKILL', stop: 'SIGTERM', wake: 'SIGCONT'} as const;

const processSentences = (Object.keys(signals) as Array<keyof typeof signals>).flatMap(verb =>
	['', 'the agent of ', 'the entry of '].map(part => createSentence(`${verb} ${part}entry host {host:int}`, ({host}: {readonly host: number}, hasWords): TimedAction => ({
		action: {
			type: 'signal', signal: signals[verb], host, part: partOf(hasWords),
		},
	}))));

const freezeSentences = ['', 'the agent of ', 'the entry of '].map(part => createSentence(
	`freeze ${part}entry host {host:int} [for {duration:duration}]`,
	({host, duration}: {readonly host: number; readonly duration: number | undefined}, hasWords): TimedAction => ({
		action: {
			type: 'signal', signal: 'SIGSTOP', host, part: partOf(hasWords),
		},
		...(duration !== undefined && {
			end: {
				afterMs: duration, action: {
					type: 'signal', signal: 'SIGCONT', host, part: partOf(hasWords),
				},
			},
		}),
	}),
));

const routeOf = (path: string, service: string, semantics: string): RouteLine => ({
	pathPrefix: path, service, semantics: semantics as RouteLine['semantics'],
});

const sentences: ReadonlyArray<Sentence<TimedAction>> = [
	...processSentences,
	...freezeSentences,
	createSentence('start entry host {host:int}', ({host}) => ({action: {type: 'start', host}})),
	createSentence('stall {targets:list} [for {duration:duration}]', ({targets, duration}) => fault(targets, {type: 'stall', share: 1}, duration)),
	createSentence(
		'slow {targets:list} by {delay:duration} [for {duration:duration}]',
		({targets, delay, duration}) => fault(targets, {type: 'slow', delayMs: delay, share: 1}, duration),
	),
	createSentence('flap {targets:list} every {period:duration}', ({targets, period}) => fault(targets, {type: 'flap', periodMs: period})),
	createSentence(
		'fail {share:number} percent of requests at {targets:list}',
		({targets, share}) => fault(targets, {type: 'errorRate', share: share / percent}),
	),
	createSentence(
		'reset {share:number} percent of answers of {targets:list}',
		({targets, share}) => fault(targets, {type: 'resetAfterWrite', share: share / percent}),
	),
	createSentence(
		'halve {share:number} percent of answers of {targets:list}',
		({targets, share}) => fault(targets, {type: 'halfAnswer', share: share / percent}),
	),
	createSentence('refuse connections at {targets:list}', ({targets}) => fault(targets, {type: 'refuseConnect'})),
	createSentence('drain {targets:list}', ({targets}) => fault(targets, {type: 'drain'})),
	createSentence('take down {targets:list} [for {duration:duration}]', ({targets, duration}) => fault(targets, {type: 'down'}, duration)),
	createSentence('let {targets:list} say that it is healthy', ({targets}) => fault(targets, {type: 'lieHealthy'})),
	createSentence('let {targets:list} say that it is sick', ({targets}) => fault(targets, {type: 'lieSick'})),
	createSentence('mend {targets:list}', ({targets}) => fault(targets, {type: 'ok'})),
	createSentence(
		'crash {targets:list} on requests to {path:path}',
		({targets, path}) => fault(targets, {type: 'crash', pathPart: path, restartMs: crashRestartMs}),
	),
	createSentence(
		'cut requests of entry host {host:int} to {targets:list}',
		({targets, host}) => fault(targets, {type: 'cut', sources: [], direction: 'requests'}, undefined, [host]),
	),
	createSentence(
		'cut answers of {targets:list} to entry host {host:int}',
		({targets, host}) => fault(targets, {type: 'cut', sources: [], direction: 'answers'}, undefined, [host]),
	),
	createSentence('take down the platform [for {duration:duration}]', ({duration}) => ({
		action: {type: 'platform', fault: {type: 'down'}},
		...(duration !== undefined && {end: {afterMs: duration, action: {type: 'platform', fault: {type: 'ok'}}}}),
	})),
	createSentence('let the platform answer as of now', () => ({action: {type: 'stale-platform', asOf: 'now'}})),
	createSentence('let the platform answer as at the start', () => ({action: {type: 'stale-platform', asOf: 'start'}})),
	createSentence('mend the platform', () => ({action: {type: 'platform', fault: {type: 'ok'}}})),
	createSentence(
		'publish revision {revision:int} of route {path:path} to {service:name} {semantics:semantics}',
		({revision, path, service, semantics}) => ({action: {type: 'publish', revision, route: routeOf(path, service, semantics)}}),
	),
	createSentence(
		'publish a bad revision {revision:int} of route {path:path} to {service:name}',
		({revision, path, service}) => ({action: {type: 'publish-bad', revision, route: routeOf(path, service, 'idempotent')}}),
	),
	createSentence('mark entry host {host:int} as leaving', ({host}) => ({action: {type: 'leave-host', host}})),
	createSentence('mark {hostId:name} as leaving', ({hostId}) => ({action: {type: 'leave-instance', hostId}})),
	createSentence(
		'a caller uploads {size:number} MB to {path:path} over {duration:duration}',
		({size, path, duration}) => ({
			action: {
				type: 'transfer', direction: 'upload', path, totalBytes: size * bytesPerMegabyte, durationMs: duration,
			},
		}),
	),
	createSentence(
		'a caller downloads {size:number} MB from {path:path} over {duration:duration}',
		({size, path, duration}) => ({
			action: {
				type: 'transfer', direction: 'download', path, totalBytes: size * bytesPerMegabyte, durationMs: duration,
			},
		}),
	),
	createSentence(
		'lengthen {share:number} percent of answers of {targets:list}',
		({targets, share}) => fault(targets, {type: 'longAnswer', share: share / percent}),
	),
	createSentence(
		'a caller sends {method:method} {path:path} through every entry host at once, {times:int} times [with plain keys]',
		({method, path, times}, hasWords) => ({
			action: {
				type: 'send-everywhere', method, path, times, keys: hasWords('with plain keys') ? 'plain' : 'issued',
			},
		}),
	),
	createSentence(
		'a caller insists on {method:method} {path:path} {times:int} times',
		({method, path, times}) => ({
			action: {
				type: 'insist', method, path, times,
			},
		}),
	),
];

/** Parses an action; undefined when no sentence matches. */
export const readAction: Sentence<TimedAction> = text => readFirst(sentences, text);
