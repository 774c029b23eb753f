/** Sentences for expectations. */

import {createSentence, readFirst, type Sentence} from './template.ts';
import type {Expectation, ProcessPart} from './types.ts';

const percent = 100;

const endedSentence = (words: string, part: ProcessPart): Sentence<Expectation> =>
	createSentence(`${words} {host:int} to have ended`, ({host}: {readonly host: number}) => ({type: 'ended', host, part}));

const sentences: ReadonlyArray<Sentence<Expectation>> = [
	createSentence('no work ran twice', () => ({type: 'no-double-run'})),
	createSentence('every "not run" to be true', () => ({type: 'not-run-true'})),
	createSentence('answers whole and own', () => ({type: 'whole-and-own'})),
	createSentence('every upload and download whole', () => ({type: 'transfers-whole'})),
	createSentence(
		'at least {share:number} percent of requests to {path:path} answered [within {within:duration}] [from {from:duration}] [until {until:duration}]',
		({
			share, path, within, from, until,
		}) => ({
			type: 'answered', share: share / percent, path, withinMs: within ?? Infinity, fromMs: from ?? 0, untilMs: until ?? Infinity,
		}),
	),
	createSentence('{instance:name} ejected within {within:duration}', ({instance, within}) => ({type: 'ejected', instance, withinMs: within})),
	createSentence('{instances:list} never ejected', ({instances}) => ({type: 'not-ejected', instances})),
	createSentence('at least {instances:int} instances of {service:name} in use', ({instances, service}) => ({type: 'floor', service, instances})),
	createSentence('no new work at {instance:name} from {from:duration}', ({instance, from}) => ({type: 'no-new-work', instance, fromMs: from})),
	createSentence(
		'no new work at {instance:name} later than {after:duration} after its word',
		({instance, after}) => ({type: 'no-new-work-after-word', instance, afterMs: after}),
	),
	createSentence('entry host {host:int} not located from {from:duration} [until {until:duration}]', ({host, from, until}) => ({
		type: 'not-located', host, fromMs: from, untilMs: until ?? Infinity,
	})),
	createSentence('entry host {host:int} located from {from:duration} [until {until:duration}]', ({host, from, until}) => ({
		type: 'located', host, fromMs: from, untilMs: until ?? Infinity,
	})),
	createSentence('revision {revision:int} in force everywhere within {within:duration}', ({revision, within}) => ({type: 'in-force', revision, withinMs: within})),
	createSentence('revisions never to go back', () => ({type: 'never-back'})),
	createSentence('at most {atMost:int} crashes', ({atMost}) => ({type: 'crashes', atMost})),
	createSentence('at most {atMost:int} reads of the platform', ({atMost}) => ({type: 'reads', atMost})),
	endedSentence('entry host', 'both'),
	endedSentence('the agent of entry host', 'agent'),
	endedSentence('the entry of entry host', 'entry'),
];

/** Parses an expectation; undefined when no sentence matches. */
export const readExpectation: Sentence<Expectation> = text => readFirst(sentences, text);
