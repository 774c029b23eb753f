/** Encodes reports between gateways as rows without field names: they are the most frequent messages of the fleet. */

import type {DispatchReport, InstanceReport} from './types.ts';

/** Instance id, requests in flight, age of the last good answer or null, remaining time of avoidance or null. */
export type ReportRow = readonly [instanceId: string, inFlight: number, goodAgeMs: number | null, avoidMs: number | null];

/** Converts a report to rows. */
export const toReportRows = ({instances}: DispatchReport): readonly ReportRow[] =>
	instances.map(({instanceId, inFlight, goodAgeMs, avoidMs}) => [instanceId, inFlight, goodAgeMs ?? null, avoidMs ?? null]);

const toInstanceReport = ([instanceId, inFlight, goodAgeMs, avoidMs]: ReportRow): InstanceReport => ({
	instanceId, inFlight, ...(goodAgeMs !== null && {goodAgeMs}), ...(avoidMs !== null && {avoidMs}),
});

/** Converts rows to a report. */
export const fromReportRows = (rows: readonly ReportRow[]): DispatchReport => ({instances: rows.map(row => toInstanceReport(row))});
