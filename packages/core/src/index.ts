/** Decisions of the fleet, without input or output; embeddable as a library. */

export {createManualClock} from './clock.ts';
export type {Clock, ManualClock} from './clock.ts';
export {createRandom, hashText} from './random.ts';
export type {Random} from './random.ts';
export {errorAnswers, createProblem} from './errors/answers.ts';
export type {Problem} from './errors/answers.ts';
export type {ErrorAnswer, ErrorKind, RunOutcome} from './errors/types.ts';
export {hostListSchema, configPageSchema} from './platform/schemas.ts';
export type {
	ConfigPage, EntryHost, Host, HostList, HostState, Instance,
} from './platform/types.ts';
export {parseRecord} from './config/schemas.ts';
export type {
	ConfigRecord, RecordIssue, RemovedRecord, RequestSemantics, RouteRecord, ServiceRecord,
} from './config/types.ts';
export {messageVersion} from './messages/types.ts';
export type {AgentToEntry, EntryToAgent, FleetMember} from './messages/types.ts';
export {createRouteTable} from './routing/route-table.ts';
export type {RouteTable} from './routing/route-table.ts';
export type {LocateAnswer, LocatedEntry} from './locate/types.ts';
