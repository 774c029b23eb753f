/** What a scenario says, once it is read. Times are in milliseconds since the load began. */

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

/** How callers name their work. */
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

/** What is done at a time. */
export type Action
	= | {readonly type: 'signal'; readonly signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'; readonly host: number; readonly part: ProcessPart}
		| {readonly type: 'start'; readonly host: number}
		/** `targets` are instance ids or names of services; `cutFrom` is filled in with the addresses of these entry hosts. */
		| {readonly type: 'fault'; readonly targets: readonly string[]; readonly fault: InstanceFault; readonly cutFrom: readonly number[]}
		| {readonly type: 'platform'; readonly fault: PlatformFault}
		/** The platform answers with what it held at the start of the scenario, or holds at this moment. */
		| {readonly type: 'stale-platform'; readonly asOf: 'start' | 'now'}
		| {readonly type: 'publish'; readonly revision: number; readonly route: RouteLine}
		| {readonly type: 'publish-bad'; readonly revision: number; readonly route: RouteLine}
		| {readonly type: 'leave-instance'; readonly hostId: string}
		| {readonly type: 'leave-host'; readonly host: number}
		| {readonly type: 'transfer'; readonly direction: 'upload' | 'download'; readonly path: string; readonly totalBytes: number; readonly durationMs: number}
		/** One piece of work, sent again and again through one entry host after another. */
		| {readonly type: 'insist'; readonly method: string; readonly path: string; readonly times: number}
		/** Pieces of work, each sent through every entry host at the same moment with the same key. */
		| {readonly type: 'send-everywhere'; readonly method: string; readonly path: string; readonly times: number; readonly keys: KeyUse};

/** An action and its time. */
export type Step = {
	readonly lineNumber: number;
	readonly atMs: number;
	readonly action: Action;
};

/** What must hold; each is judged at the end over the whole run. */
export type Expectation
	= | {readonly type: 'no-double-run'}
		| {readonly type: 'not-run-true'}
		| {readonly type: 'whole-and-own'}
		| {readonly type: 'transfers-whole'}
		/** Of the works begun in the window, at least this share ended in a whole answer in time. */
		| {readonly type: 'answered'; readonly share: number; readonly path: string; readonly withinMs: number; readonly fromMs: number; readonly untilMs: number}
		| {readonly type: 'ejected'; readonly instance: string; readonly withinMs: number}
		| {readonly type: 'not-ejected'; readonly instances: readonly string[]}
		| {readonly type: 'floor'; readonly service: string; readonly instances: number}
		| {readonly type: 'no-new-work'; readonly instance: string; readonly fromMs: number}
		/** No request arrives that long after the first answer in which the instance says that it drains. */
		| {readonly type: 'no-new-work-after-word'; readonly instance: string; readonly afterMs: number}
		| {readonly type: 'not-located'; readonly host: number; readonly fromMs: number; readonly untilMs: number}
		| {readonly type: 'located'; readonly host: number; readonly fromMs: number; readonly untilMs: number}
		| {readonly type: 'in-force'; readonly revision: number; readonly withinMs: number}
		| {readonly type: 'never-back'}
		| {readonly type: 'crashes'; readonly atMost: number}
		/** The processes that were asked to stop have ended by themselves. */
		| {readonly type: 'ended'; readonly host: number; readonly part: ProcessPart}
		| {readonly type: 'reads'; readonly atMost: number};

/** An expectation and its line. */
export type ExpectationLine = {
	readonly lineNumber: number;
	readonly text: string;
	readonly expectation: Expectation;
};

/** A whole scenario. */
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

/** Why a scenario can't be read. */
export type ScenarioError = {
	readonly lineNumber: number;
	readonly message: string;
};
