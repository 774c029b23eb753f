/** Waiting, placing and rejecting: the decisions of a gateway under load. */

export {createDispatcher} from './dispatcher.ts';
export type {Dispatcher, DispatcherSnapshot, DispatcherState} from './dispatcher.ts';
export {createRetryWindow, slackShareOf} from './retry-window.ts';
export type {RetryLimits, RetryWindow} from './retry-window.ts';
export {fromReportRows, toReportRows} from './report-rows.ts';
export type {ReportRow} from './report-rows.ts';
export {isAcceptedDuringShutdown} from './stop-plan.ts';
export type {ShutdownPlan} from './stop-plan.ts';
export {createReportScheduler} from './report-news.ts';
export type {ReportScheduler} from './report-news.ts';
export type {
	AttemptResult, DispatchDecision, DispatchInstance, DispatchReport, DispatchRequest, InstanceReport, DeferredDecision, Placement, RejectReason,
} from './types.ts';
export {createIdleLimit} from './idle-limit.ts';
export type {IdleLimit} from './idle-limit.ts';
