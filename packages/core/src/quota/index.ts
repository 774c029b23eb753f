/** Quotas of workspaces over all gateways. */

export {createQuotaGate} from './quota-gate.ts';
export type {QuotaGate, QuotaGateOptions} from './quota-gate.ts';
export type {
	QuotaDecision, QuotaFleet, QuotaLimits, QuotaReport, QuotaRow, QuotaSend, QuotaUse,
} from './types.ts';
