/** `egretwing bench` */

import {Command, Option} from 'clipanion';
import {runLoad} from '../bench/load.ts';
import type {LoadPlan, LoadResult} from '../bench/types.ts';
import {BaseCommand, CommandFailure} from './base.ts';

const msPerSecond = 1000;
const columnWidth = 10;

const parseNumbers = (name: string, input: string): readonly number[] => input.split(',').map(part => {
	const value = Number(part);
	if (!Number.isFinite(value) || value <= 0) {
		throw new CommandFailure(`${name}: "${part}" is not a positive number`);
	}

	return value;
});

const parseTargets = (name: string, input: string): readonly [string, ...string[]] => {
	const [first = '', ...rest] = input.split(',');
	const targets: readonly [string, ...string[]] = [first, ...rest];
	for (const target of targets) {
		if (!URL.canParse(target)) {
			throw new CommandFailure(`${name}: "${target}" is not a URL; expected http://ADDRESS:PORT`);
		}
	}

	return targets;
};

const formatRow = (cells: ReadonlyArray<string | number>): string => cells
	.map(cell => (typeof cell === 'number' ? String(Math.round(cell * 100) / 100) : cell).padStart(columnWidth))
	.join(' ');

/** Sends open-loop load directly to backend servers and through the fleet in one run. */
export class BenchCommand extends BaseCommand {
	static override readonly paths = [['bench']];
	static override readonly usage = Command.Usage({
		description: 'measure latency under open-loop load, direct and through the fleet',
		details: `
			Arrivals follow a seeded schedule; latency is measured from the scheduled send time. For each rate the direct
			and the fleet phase run one after the other. A phase in which the generator fell behind is marked; its results
			are invalid. The command starts no other processes: see scripts/bench.ts for a run with the stand-ins.
		`,
		examples: [['Added latency at two rates', 'egretwing bench --direct http://127.0.2.1:9000 --fleet http://127.0.1.1:8080 --path /rosters/1 --rates 500,1000']],
	});

	readonly direct = Option.String('--direct', {required: false, description: 'base URLs of instances, comma-separated'});
	readonly fleet = Option.String('--fleet', {required: true, description: 'base URLs of entries, comma-separated'});
	readonly target = Option.String('--path', '/', {description: 'path to request'});
	readonly rates = Option.String('--rates', '500', {description: 'requests per second, comma-separated'});
	readonly seconds = Option.String('--seconds', '5', {description: 'length of a phase in seconds'});
	readonly seed = Option.String('--seed', '1', {description: 'seed of the schedule'});
	readonly label = Option.String('--label', '', {description: 'text put into each JSON line, such as the commit'});

	async run(): Promise<number> {
		const [seconds = 5] = parseNumbers('--seconds', this.seconds);
		const [seed = 1] = parseNumbers('--seed', this.seed);
		const modes = [
			...(this.direct === undefined ? [] : [{mode: 'direct', targets: parseTargets('--direct', this.direct)}]),
			{mode: 'fleet', targets: parseTargets('--fleet', this.fleet)},
		];
		this.printHeader();
		for (const ratePerSecond of parseNumbers('--rates', this.rates)) {
			for (const {mode, targets} of modes) {
				const plan: LoadPlan = {
					targets, method: 'GET', path: this.target, ratePerSecond, durationMs: seconds * msPerSecond, warmUpMs: msPerSecond, timeoutMs: 10 * msPerSecond, seed, workspaces: 16,
				};
				this.printResult(mode, plan, await runLoad(plan));
			}
		}

		return 0;
	}

	private printHeader(): void {
		if (!this.json) {
			this.printLine(formatRow(['mode', 'rate/s', 'sent', 'answered', 'p50 ms', 'p90 ms', 'p99 ms', 'max ms', 'lag p99', 'behind']));
		}
	}

	private printResult(mode: string, plan: LoadPlan, result: LoadResult): void {
		if (this.json) {
			this.printLine(JSON.stringify({
				label: this.label, mode, ratePerSecond: plan.ratePerSecond, seed: plan.seed, ...result,
			}));
			return;
		}

		this.printLine(formatRow([
			mode, plan.ratePerSecond, result.sent, result.answered, result.p50Ms, result.p90Ms, result.p99Ms, result.maxMs, result.lagP99Ms, result.generatorBehind ? 'yes' : 'no',
		]));
		if (Object.keys(result.failures).length > 0) {
			this.printLine(`  failures: ${JSON.stringify(result.failures)}`);
		}
	}
}
