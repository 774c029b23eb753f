import {expect} from 'chai';
import {Registry} from 'prom-client';
import {createLagMeter, createProcessMetrics, describeProcess} from '@egretwing/node';

describe('report of a process', () => {
	it('has its age and its memory', () => {
		const {ageMs, residentMegabytes, peakMegabytes} = describeProcess();
		expect(ageMs).to.be.above(0);
		expect(residentMegabytes).to.be.within(1, peakMegabytes);
	});

	const cases: ReadonlyArray<{readonly title: string; readonly runsMs: readonly number[]; readonly lagMs: number}> = [
		{title: 'has no lag before the second run', runsMs: [500], lagMs: 0},
		{title: 'has no lag while work comes in time', runsMs: [0, 100, 200], lagMs: 0},
		{title: 'has the longest lag', runsMs: [0, 100, 950, 1060], lagMs: 750},
	];
	for (const {title, runsMs, lagMs} of cases) {
		it(title, () => {
			const meter = createLagMeter(100);
			for (const runMs of runsMs) {
				meter.record(runMs);
			}

			expect([meter.takeMaxMs(), meter.takeMaxMs()]).to.deep.equal([lagMs, 0]);
		});
	}

	it('has metrics of start time, memory, signals and unexpected errors', async () => {
		const registry = new Registry();
		const metrics = createProcessMetrics(registry);
		metrics.signals.inc({signal: 'SIGHUP'});
		metrics.unexpectedErrors.inc({place: 'tick'});
		const text = await registry.metrics();
		expect(text).to.match(/^process_start_time_seconds 1\d{9}/mv).and.match(/^process_resident_memory_bytes [1-9]\d+/mv)
			.and.match(/^process_peak_memory_bytes [1-9]\d+/mv).and.match(/^process_heap_used_bytes [1-9]\d+/mv)
			.and.include('egretwing_signals_total{signal="SIGHUP"} 1').and.include('egretwing_unexpected_errors_total{place="tick"} 1');
	});
});
