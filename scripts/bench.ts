/** Runs an experiment on stand-ins: `npm run bench -- added-latency|control-cost [--rates A,B] [--seconds N] [--json]`. */

import {execFileSync, spawn} from 'node:child_process';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureControlCost, type ControlSize} from './experiments/control-cost.ts';
import {createEntryHost, hostPorts, startFleet} from './lib/fleet.ts';
import {programFile} from './lib/processes.ts';

type BenchOptions = {
	readonly rates: string;
	readonly seconds: string;
	readonly json: boolean;
};

const readCommit = (): string => execFileSync('git', ['rev-parse', '--short', 'HEAD'], {encoding: 'utf8'}).trim();

const runBench = async (args: readonly string[]): Promise<void> => new Promise((resolve, reject) => {
	const child = spawn(process.execPath, [programFile('cli'), 'bench', ...args], {stdio: 'inherit'});
	child.once('exit', code => {
		if (code === 0) {
			resolve();
		} else {
			reject(new Error(`egretwing bench exited with code ${code}`));
		}
	});
});

const createInstances = (count: number, service: string) => Array.from({length: count}, (_, index) => ({
	hostId: `${service}-${index}`, service, address: `127.0.12.${index + 1}`, port: 9000, slots: 64, queueLength: 1024, serviceTimeMs: 0, connectTimeMs: 0,
}));

/** Measures the latency that one entry adds: the same load directly to the instances and through the entry. */
const measureAddedLatency = async ({rates, seconds, json}: BenchOptions): Promise<void> => {
	const instances = createInstances(8, 'rosterview');
	const host = createEntryHost('entry-1', '127.0.11.1');
	const fleet = await startFleet({
		hosts: [host],
		instances,
		records: [
			{
				kind: 'service', schemaVersion: 2, name: 'rosterview', revision: 1, slotsPerInstance: 64, workspaceShare: 1,
			},
			{
				kind: 'route', schemaVersion: 2, name: 'rosters', revision: 2, pathPrefix: '/rosters', service: 'rosterview', semantics: 'idempotent',
			},
		],
	});
	try {
		await runBench([
			'--direct',
			instances.map(({address, port}) => `http://${address}:${port}`).join(','),
			'--fleet',
			`http://${host.address}:${hostPorts.entryPort}`,
			'--path',
			'/rosters/1',
			'--rates',
			rates,
			'--seconds',
			seconds,
			'--label',
			readCommit(),
			...(json ? ['--json'] : []),
		]);
	} finally {
		await fleet.processes.stop();
	}
};

const controlSizes: readonly ControlSize[] = [
	...[5, 11, 22, 44].map(agents => ({
		agents, services: 6, instancesPerService: 12, routes: 60,
	})),
	{
		agents: 11, services: 340, instancesPerService: 12, routes: 60,
	},
	{
		agents: 11, services: 6, instancesPerService: 600, routes: 60,
	},
	{
		agents: 11, services: 6, instancesPerService: 12, routes: 11_000,
	},
];

/** Prints one JSON line for each size. */
const measureControlCosts = async (): Promise<void> => {
	for (const size of controlSizes) {
		const cost = await measureControlCost(size);
		process.stdout.write(`${JSON.stringify({label: readCommit(), ...cost})}\n`);
	}
};

const experiments: Readonly<Record<string, (options: BenchOptions) => Promise<void>>> = {
	'added-latency': measureAddedLatency,
	'control-cost': measureControlCosts,
};

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		rates: {type: 'string', default: '500,1000,2000,4000'},
		seconds: {type: 'string', default: '5'},
		json: {type: 'boolean', default: false},
	},
});
const experiment = experiments[positionals[0] ?? ''];
if (experiment) {
	await experiment(values);
} else {
	process.stderr.write(`usage: npm run bench -- ${Object.keys(experiments).join('|')} [--rates A,B] [--seconds N] [--json]\n`);
	process.exitCode = 2;
}
