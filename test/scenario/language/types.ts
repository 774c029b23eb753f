/** Types of a parsed scenario. Times are in milliseconds since the start of the load. */

import type {InstanceFault, PlatformFault} from '@egretwing/standin';

/** A service and its instances. */
export type ServiceLine = {
	readonly name: string;
	readonly instances: number;
	readonly slots: number;
	readonly serviceTimeMs: number;
	/** Fields of the service's record that differ from their defaults. */
	readonly record: Readonly<Record<string, number>>;
};

/** A route to a service. */
export type RouteLine = {
	readonly pathPrefix: string;
	readonly service: string;
	readonly semantics: 'idempotent' | 'at-most-once';
};

/** Idempotency keys of callers: none, with a prefix issued by the fleet, or the plain work id. */
export type KeyUse = 'none' | 'issued' | 'plain';

/** Requests at a steady rate. */
export type LoadLine = {
	readonly ratePerSecond: number;
	readonly method: string;
	readonly path: string;
	readonly keys: KeyUse;
	readonly resend: boolean;
	readonly timeoutMs: number;
	readonly fromMs: number;
	/** Infinity for the whole scenario. */
	readonly untilMs: number;
};

/** Processes of an entry host. */
export type ProcessPart = 'agent' | 'entry' | 'both';

/** One action of a step. */
export type Action
	= | {readonly type: 'signal'; readonly signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'; readonly host: number; readonly part: ProcessPart}
		| {readonly type: 'start'; readonly host: number}
		/** `targets` are instance ids or service names; the sources of a `cut` are the entry hosts numbered `cutFrom`. */
		| {readonly type: 'fault'; readonly targets: readonly string[]; readonly fault: InstanceFault; readonly cutFrom: readonly number[]}
		| {readonly type: 'platform'; readonly fault: PlatformFault}
		/** The platform serves its state as of the start of the scenario or of this moment. */
		| {readonly type: 'stale-platform'; readonly asOf: 'start' | 'now'}
		| {readonly type: 'publish'; readonly revision: number; readonly route: RouteLine}
		| {readonly type: 'publish-bad'; readonly revision: number; readonly route: RouteLine}
		| {readonly type: 'leave-instance'; readonly hostId: string}
		| {readonly type: 'leave-host'; readonly host: number}
		| {readonly type: 'transfer'; readonly direction: 'upload' | 'download'; readonly path: string; readonly totalBytes: number; readonly durationMs: number}
		/** One piece of work, sent repeatedly through one entry host after another. */
		| {readonly type: 'insist'; readonly method: string; readonly path: string; readonly times: number}
		/** Pieces of work, each sent through all entry hosts at the same time with the same key. */
		| {readonly type: 'send-everywhere'; readonly method: string; readonly path: string; readonly times: number; readonly keys: KeyUse};

/** An action and its time. */
export type Step = {
	readonly lineNumber: number;
	readonly atMs: number;
	readonly action: Action;
};

/** One expectation; all are checked at the end, over the whole run. */
export type Expectation
	= | {readonly type: 'no-double-run'}
		| {readonly type: 'not-run-true'}
		| {readonly type: 'whole-and-own'}
		| {readonly type: 'transfers-whole'}
		/** At least this share of the work started in the window got a complete answer in time. */
		| {readonly type: 'answered'; readonly share: number; readonly path: string; readonly withinMs: number; readonly fromMs: number; readonly untilMs: number}
		| {readonly type: 'ejected'; readonly instance: string; readonly withinMs: number}
		| {readonly type: 'not-ejected'; readonly instances: readonly string[]}
		| {readonly type: 'floor'; readonly service: string; readonly instances: number}
		| {readonly type: 'no-new-work'; readonly instance: string; readonly fromMs: number}
		/** No request arrives more than `afterMs` after the first answer that reports draining. */
		| {readonly type: 'no-new-work-after-word'; readonly instance: string; readonly afterMs: number}
		| {readonly type: 'not-located'; readonly host: number; readonly fromMs: number; readonly untilMs: number}
		| {readonly type: 'located'; readonly host: number; readonly fromMs: number; readonly untilMs: number}
		| {readonly type: 'in-force'; readonly revision: number; readonly withinMs: number}
		| {readonly type: 'never-back'}
		| {readonly type: 'crashes'; readonly atMost: number}
		/** The processes that got SIGTERM exited by themselves with code 0. */
		| {readonly type: 'ended'; readonly host: number; readonly part: ProcessPart}
		| {readonly type: 'reads'; readonly atMost: number};

/** An expectation and its line. */
export type ExpectationLine = {
	readonly lineNumber: number;
	readonly text: string;
	readonly expectation: Expectation;
};

/** A complete scenario. */
export type Scenario = {
	readonly hosts: number;
	readonly dataCentres: number;
	readonly durationMs: number;
	readonly services: readonly ServiceLine[];
	readonly routes: readonly RouteLine[];
	readonly loads: readonly LoadLine[];
	readonly steps: readonly Step[];
	readonly expectations: readonly ExpectationLine[];
};

/** One invalid line of a scenario. */
export type ScenarioError = {
	readonly lineNumber: number;
	readonly message: string;
};
