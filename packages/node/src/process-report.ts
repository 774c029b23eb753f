/** What a process says of itself, so that the end of one can be explained afterwards: its age, its memory and how long its event loop stood still. */

import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';
import {Counter, Gauge, type Registry} from 'prom-client';

const bytesPerMegabyte = 1_048_576;
const bytesPerKilobyte = 1024;
const msPerSecond = 1000;

const toMegabytes = (bytes: number): number => Math.round(bytes / bytesPerMegabyte);

/** Age and memory of this process. */
export type ProcessFields = {
	readonly ageMs: number;
	/** Resident memory, which the limit of the machine applies to, and its largest value so far; absent while it can't be read. */
	readonly residentMegabytes?: number;
	readonly peakMegabytes: number;
	readonly heapMegabytes: number;
	/** Memory of buffers, outside of the heap. */
	readonly bufferMegabytes: number;
};

/**
 * Resident memory of this process; undefined while it can't be read, which takes a descriptor.
 *
 * What reports on a process must not fail where the process is in trouble.
 */
export const readResidentBytes = (): number | undefined => {
	try {
		return process.memoryUsage.rss();
	} catch {
		return undefined;
	}
};

/** Returns age and memory of this process, for a log line. */
export const describeProcess = (): ProcessFields => {
	const residentBytes = readResidentBytes();
	const {used_heap_size: heapBytes, external_memory: bufferBytes} = getHeapStatistics();
	return {
		ageMs: Math.round(performance.now()),
		...(residentBytes !== undefined && {residentMegabytes: toMegabytes(residentBytes)}),
		peakMegabytes: toMegabytes(process.resourceUsage().maxRSS * bytesPerKilobyte),
		heapMegabytes: toMegabytes(heapBytes),
		bufferMegabytes: toMegabytes(bufferBytes),
	};
};

/** Measures by how much periodic work comes late, which tells how long the event loop was busy with other work. */
export type LagMeter = {
	/** Records one run of the work. */
	readonly record: (nowMs: number) => void;
	/** The longest delay since the last call. */
	readonly takeMaxMs: () => number;
};

/** Creates a meter for work that is due every `intervalMs`. */
export const createLagMeter = (intervalMs: number): LagMeter => {
	let lastMs: number | undefined;
	let maxMs = 0;

	return {
		record(nowMs) {
			maxMs = Math.max(maxMs, lastMs === undefined ? 0 : nowMs - lastMs - intervalMs);
			lastMs = nowMs;
		},
		takeMaxMs() {
			const takenMs = maxMs;
			maxMs = 0;
			return takenMs;
		},
	};
};

/** Metrics of a process. */
export type ProcessMetrics = {
	/** Errors that no code expected, by the place that caught them. */
	readonly unexpectedErrors: Counter<'place'>;
	/** Signals that the process handled. */
	readonly signals: Counter<'signal'>;
};

/** Adds metrics of the process to a registry; start time and memory are read when the metrics are. */
export const createProcessMetrics = (registry: Registry): ProcessMetrics => {
	const registers = [registry];
	const gauge = (name: string, help: string, read: () => number): void => {
		const created = new Gauge({
			name, help, registers, collect() {
				created.set(read());
			},
		});
	};

	gauge('process_start_time_seconds', 'Unix time of the start of the process', () => performance.timeOrigin / msPerSecond);
	gauge('process_resident_memory_bytes', 'Resident memory; 0 while it can not be read', () => readResidentBytes() ?? 0);
	gauge('process_peak_memory_bytes', 'Largest resident memory so far', () => process.resourceUsage().maxRSS * bytesPerKilobyte);
	gauge('process_heap_used_bytes', 'Heap in use', () => getHeapStatistics().used_heap_size);
	return {
		unexpectedErrors: new Counter({
			name: 'egretwing_unexpected_errors_total', help: 'Errors that no code expected, by the place that caught them', labelNames: ['place'], registers,
		}),
		signals: new Counter({
			name: 'egretwing_signals_total', help: 'Signals that the process handled', labelNames: ['signal'], registers,
		}),
	};
};
