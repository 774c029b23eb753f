/** Load decisions of an entry: selection of instances, concurrency limits, queueing, retries and workspace shares. */

export {createServiceAdmission} from './service-admission.ts';
export type {LoadSnapshot, ServiceAdmission, ServiceAdmissionDependencies} from './service-admission.ts';
export {createRetryBudget} from './retry-budget.ts';
export type {RetryBudget} from './retry-budget.ts';
export {decideRetry} from './retry.ts';
export type {FailedAttempt, RetryDecision, RetryRefusal} from './retry.ts';
export type {
	AdmissionDecision, AttemptEnd, Candidate, Dispatch, LoadRefusalKind, LoadRequest, LoadSettings, Permit, Placement,
} from './types.ts';
export {
	createMemoryBudget, isMemoryShort, memoryLimitBytes, objectBytesOf, objectLimitBytes,
} from './memory-budget.ts';
export type {MemoryBudget, MemoryLease} from './memory-budget.ts';
