/** Command line for soak runs: `npm run soak -- --seeds 50 --first 1 [--seconds 12] [--gateways 4] [--instances 6] [--logs FOLDER] [--ends] [--eras] [--removals]`. */

import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {buildGateway} from './gateways.ts';
import {runSoak} from './soak.ts';

const msPerSecond = 1000;
/** Time within which a gateway that was killed last has restarted and all avoided instances are in use again. */
const longestCalmMs = 5000;
/** Second part of the loopback addresses of the first of the parallel runs: below those of the tests. */
const firstNetwork = 10;
const addressesPerPart = 250;

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '5'},
		first: {type: 'string', default: String(Date.now() % 1_000_000)},
		seconds: {type: 'string', default: '12'},
		gateways: {type: 'string', default: '4'},
		instances: {type: 'string', default: '6'},
		rate: {type: 'string', default: '40'},
		parallel: {type: 'string', default: '2'},
		logs: {type: 'string'},
		ends: {type: 'boolean', default: false},
		eras: {type: 'boolean', default: false},
		removals: {type: 'boolean', default: false},
	},
});
const file = await buildGateway();
const first = Number(values.first);
const queue = Array.from({length: Number(values.seeds)}, (_, index) => first + index);
let failures = 0;

const work = async (lane: number): Promise<void> => {
	for (let seed = queue.shift(); seed !== undefined; seed = queue.shift()) {
		const report = await runSoak({
			seed,
			file,
			network: `127.${firstNetwork + lane}.${seed % addressesPerPart}`,
			gateways: Number(values.gateways),
			instances: Number(values.instances),
			durationMs: Number(values.seconds) * msPerSecond,
			calmMs: Math.min(longestCalmMs, Number(values.seconds) * msPerSecond / 2),
			requestsPerSecond: Number(values.rate),
			ends: values.ends,
			eras: values.eras,
			removals: values.removals,
		});
		failures += Number(report.flaws.length > 0);
		console.log(`seed ${seed}: ${report.flaws.length} flaws, ${report.served} of ${report.calls} served, ${report.steps.length} steps`);
		for (const flaw of report.flaws.slice(0, 5)) {
			console.log(`  ${flaw}`);
		}

		if (values.logs !== undefined && report.flaws.length > 0) {
			mkdirSync(values.logs, {recursive: true});
			writeFileSync(path.join(values.logs, `seed-${seed}.log`), [...report.steps.map(step => JSON.stringify(step)), ...report.flaws, ...report.logs].join('\n'));
		}
	}
};

await Promise.all(Array.from({length: Number(values.parallel)}, async (_, lane) => work(lane)));
console.log(`${Number(values.seeds) - failures} passed, ${failures} failed`);
process.exitCode = failures > 0 ? 1 : 0;
