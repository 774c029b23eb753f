/** Load decisions: choice of instance, limits, queue, retries, shares. */

export {createServiceAdmission} from './service-load.ts';
export type {LoadSnapshot, ServiceAdmission, ServiceAdmissionDependencies} from './service-load.ts';
export {createRetryBudget} from './retry-budget.ts';
export type {RetryBudget} from './retry-budget.ts';
export {decideRetry} from './retry.ts';
export type {FailedAttempt, RetryDecision, RetryRefusal} from './retry.ts';
export type {
	AdmissionDecision, AttemptEnd, Candidate, Dispatch, LoadRefusalKind, LoadRequest, LoadSettings, Permit, Placement,
} from './types.ts';
