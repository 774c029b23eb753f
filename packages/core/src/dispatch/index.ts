/** Dispatch decisions of a gateway under load: sending, queueing and rejecting requests. */

export {createDispatcher} from './dispatcher.ts';
export type {Dispatcher, DispatcherSnapshot, DispatcherState} from './dispatcher.ts';
export {createRetryWindow, slackShareOf} from './retry-window.ts';
export type {RetryLimits, RetryWindow} from './retry-window.ts';
export {fromReportRows, toReportRows} from './report-rows.ts';
export type {ReportRow} from './report-rows.ts';
export {minRetryAfterMs} from './constants.ts';
export {createAnswerSizes} from './answer-sizes.ts';
export type {AnswerSizes} from './answer-sizes.ts';
export {hedgeDelayMs} from './hedge-delay.ts';
export type {HedgeSituation} from './hedge-delay.ts';
export {isAcceptedDuringShutdown} from './shutdown-plan.ts';
export type {ShutdownPlan} from './shutdown-plan.ts';
export {createReportScheduler} from './report-scheduler.ts';
export type {ReportScheduler} from './report-scheduler.ts';
export type {
	AttemptResult, DispatchDecision, DispatchInstance, DispatchReport, DispatchRequest, InstanceReport, DeferredDecision, Placement, RejectReason,
} from './types.ts';
export {createIdleLimit} from './idle-limit.ts';
export type {IdleLimit} from './idle-limit.ts';
export {requestKind} from './service-times.ts';
