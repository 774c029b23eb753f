/** Searches random loads for violations of the floor: `npm run hunt:floor -- --seeds 300 [--first 1] [--workers 4] [--explain]`. */

import {fork} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {replayFleet} from './fleet-model.ts';
import {
	floorShare, reachedShare, worstOf, type FloorWindow,
} from './floor-windows.ts';
import {drawLoad} from './random-load.ts';

/** Result of one load. */
type LoadResult = {
	readonly seed: number;
	readonly asked: number;
	readonly unserved: number;
	readonly worst?: FloorWindow;
	readonly ignoredNotices: readonly string[];
};

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '100'},
		first: {type: 'string', default: String(Date.now() % 1_000_000)},
		workers: {type: 'string', default: '4'},
		explain: {type: 'boolean', default: false},
	},
});

const toCount = (option: 'seeds' | 'first' | 'workers', least: number): number => {
	const count = Number(values[option]);
	if (!Number.isSafeInteger(count) || count < least) {
		throw new Error(`--${option}: expected a whole number from ${least}, got ${JSON.stringify(values[option])}`);
	}

	return count;
};

const play = async (seed: number): Promise<LoadResult> => {
	const {asked, unserved, windows, ignoredNotices} = await replayFleet(drawLoad(seed));
	return {
		seed, asked, unserved, worst: worstOf(windows), ignoredNotices,
	};
};

const explain = ({worst}: LoadResult): string => (worst?.missed ?? []).map(({instanceId, joinsAtMs, before}) => {
	const attempts = before.map(({gatewayId, fromMs, untilMs, result}) => `${gatewayId} ${Math.round(fromMs)} to ${Math.round(untilMs)} ${result}`);
	return `  ${instanceId}, registered at ${Math.round(joinsAtMs)}: ${attempts.join('; ') || 'no attempt'}`;
}).join('\n');

const describe = ({seed, asked, unserved, worst}: LoadResult): string =>
	`seed ${seed}: ${unserved} of ${asked} not served; worst window ${JSON.stringify({...worst, missed: undefined})}; ${drawLoad(seed).faults.map(({type, fromMs}) => `${type} at ${Math.round(fromMs)}`).join(', ')}`;

const runCoordinator = async (): Promise<void> => {
	const first = toCount('first', 0);
	const queue = Array.from({length: toCount('seeds', 1)}, (_, index) => first + index);
	const played: LoadResult[] = [];
	const runWorker = async (): Promise<void> => new Promise((resolve, reject) => {
		const worker = fork(fileURLToPath(import.meta.url));
		const next = (): void => {
			const seed = queue.shift();
			if (seed === undefined) {
				worker.disconnect();
				return;
			}

			worker.send(seed);
		};

		worker.on('message', (result: LoadResult) => {
			played.push(result);
			next();
		});
		worker.once('error', reject);
		worker.once('exit', code => {
			if (code === 0) {
				resolve();
			} else {
				reject(new Error(`a worker ended with code ${code}`));
			}
		});
		next();
	});

	await Promise.all(Array.from({length: toCount('workers', 1)}, runWorker));
	const broken = played.filter(({worst}) => worst !== undefined && reachedShare(worst) < floorShare).toSorted((left, right) => left.seed - right.seed);
	const ignoring = played.filter(({ignoredNotices}) => ignoredNotices.length > 0);
	for (const {seed, ignoredNotices} of ignoring) {
		console.log(`seed ${seed}: requests against what an instance had said: ${ignoredNotices.join('; ')}`);
	}

	for (const each of broken) {
		console.log(describe(each));
		if (values.explain) {
			console.log(explain(each));
		}
	}

	const asked = played.reduce((sum, each) => sum + each.asked, 0);
	const unserved = played.reduce((sum, each) => sum + each.unserved, 0);
	const withFloorWindow = played.filter(({worst}) => worst !== undefined).length;
	console.log(`${played.length} loads from seed ${first}, ${withFloorWindow} with a window in which the floor holds: ${broken.length} broke it, ${ignoring.length} ignored what an instance had said; ${(100 * unserved / asked).toFixed(2)} in 100 requests not served`);
	process.exitCode = broken.length + ignoring.length > 0 ? 1 : 0;
};

if (process.send === undefined) {
	await runCoordinator();
} else {
	process.on('message', async (seed: number) => {
		process.send!(await play(seed));
	});
}
