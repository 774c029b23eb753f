/** Demo: runs both example deployments at a small size, injects a gray failure, kills an entry and prints a report. */

import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import process from 'node:process';
import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {recordingChunks, recordingDigest} from '@egretwing/standin';
import {createClient, type Client} from '@egretwing/client';
import {
	bagmati, createFleetOptions, gaNorth, type Deployment, type DeploymentService,
} from './lib/deployments.ts';
import {
	fetchJson, hostPorts, startFleet, type Fleet, type FleetOptions,
} from './lib/fleet.ts';
import {fetchEjected} from './lib/standing.ts';

const hostCount = 3;
const recordingBytes = 67_108_864;
const loadMs = 14_000;
const stallAtMs = 3000;
const killAtMs = 8000;
const requestIntervalMs = 25;
const pollMs = 100;

type RegionReport = {
	answered: number;
	readonly refusals: Map<string, number>;
	readonly recordings: string[];
	stalledInstance: string;
	killedHost: string;
	ejectedAfterMs: number | undefined;
	repeated: number;
};

type Region = {
	readonly deployment: Deployment;
	readonly options: FleetOptions;
	readonly fleet: Fleet;
	readonly client: Client;
	readonly report: RegionReport;
};

const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const startRegion = async (deployment: Deployment): Promise<Region> => {
	const options = createFleetOptions(deployment, hostCount);
	const fleet = await startFleet(options);
	const [first, ...others] = options.hosts.map(({address, locatePort}) => ({address, port: locatePort}));
	return {
		deployment,
		options,
		fleet,
		client: createClient({locateAddresses: [first!, ...others], workspace: deployment.region}),
		report: {
			answered: 0, refusals: new Map(), recordings: [], stalledInstance: '', killedHost: '', ejectedAfterMs: undefined, repeated: 0,
		},
	};
};

const countRefusal = ({report}: Region, reason: string): void => {
	report.refusals.set(reason, (report.refusals.get(reason) ?? 0) + 1);
};

const sendRequest = async (region: Region, service: DeploymentService, index: number): Promise<void> => {
	const idempotent = service.semantics === 'idempotent';
	const result = await region.client.send({
		service: service.name,
		method: idempotent ? 'GET' : 'POST',
		path: `${service.pathPrefix}/${index}`,
		idempotent,
		headers: {'x-work-id': `${service.name}-${index}`},
		...(!idempotent && {body: '{}'}),
	});
	if (result.type === 'failed') {
		countRefusal(region, `${result.kind} (${result.ran})`);
		return;
	}

	try {
		const answer = JSON.parse(await result.body.setEncoding('utf8').reduce((text: string, chunk: string) => text + chunk, '')) as {readonly workId: string};
		if (result.statusCode === 200 && answer.workId === `${service.name}-${index}`) {
			region.report.answered++;
		} else {
			countRefusal(region, `status ${result.statusCode}`);
		}
	} catch {
		countRefusal(region, 'answer cut (unknown)');
	}
};

const sendLoad = async (region: Region): Promise<void> => {
	const services = region.deployment.services.filter(({pathPrefix}) => pathPrefix !== '/recordings');
	const pending: Array<Promise<void>> = [];
	const untilMs = Date.now() + loadMs;
	for (let index = 0; Date.now() < untilMs; index++) {
		pending.push(sendRequest(region, services[index % services.length]!, index));
		await delay(requestIntervalMs);
	}

	await Promise.all(pending);
};

const uploadRecording = async ({client, report}: Region, service: string, digest: string): Promise<void> => {
	const result = await client.send({
		service, method: 'PUT', path: '/recordings/rehearsal', idempotent: true, headers: {'x-sha256': digest}, body: () => Readable.from(recordingChunks(recordingBytes, 1)),
	});
	if (result.type === 'failed') {
		report.recordings.push(`upload to ${service}: ${result.kind}`);
		return;
	}

	const answer = JSON.parse(Buffer.concat(await result.body.toArray() as Buffer[]).toString()) as {readonly sha256: string};
	report.recordings.push(`upload to ${service}: ${answer.sha256 === digest ? 'digest equal' : 'DIGEST DIFFERS'}`);
};

const downloadRecording = async ({client, report}: Region, service: string, digest: string): Promise<void> => {
	const result = await client.send({
		service, method: 'GET', path: `/recordings/rehearsal?bytes=${recordingBytes}&seed=1`, idempotent: true,
	});
	if (result.type === 'failed') {
		report.recordings.push(`download from ${service}: ${result.kind}`);
		return;
	}

	const hash = createHash('sha256');
	for await (const chunk of result.body as AsyncIterable<Uint8Array>) {
		hash.update(chunk);
	}

	report.recordings.push(`download from ${service}: ${hash.digest('hex') === digest ? 'digest equal' : 'DIGEST DIFFERS'}`);
};

const transferRecording = async (region: Region): Promise<void> => {
	const service = region.deployment.services.find(({pathPrefix}) => pathPrefix === '/recordings')!.name;
	const digest = recordingDigest(recordingBytes, 1);
	await uploadRecording(region, service, digest);
	await downloadRecording(region, service, digest);
};

/** True when at least one entry host has ejected the stalled instance. */
const isStalledInstanceEjected = async ({options, report}: Region, service: string): Promise<boolean> => {
	const ejected = await Promise.all(options.hosts.map(async ({address}) => fetchEjected(`http://${address}:${hostPorts.entryOperatorPort}`, [service])));
	return ejected.flat().includes(report.stalledInstance);
};

/** Stalls an instance, whose health check still succeeds, and records when the first entry host ejects it. */
const stallInstance = async (region: Region): Promise<void> => {
	await delay(stallAtMs);
	const {report, fleet, deployment} = region;
	const service = deployment.services[0]!.name;
	report.stalledInstance = `${service}-2`;
	await fetchJson(`${fleet.backendOperatorUrl}/v1/fault`, {
		method: 'POST', body: JSON.stringify({instances: [report.stalledInstance], fault: {type: 'stall'}}),
	});
	const stalledMs = Date.now();
	while (Date.now() - stalledMs < loadMs - stallAtMs) {
		if (await isStalledInstanceEjected(region, service)) {
			report.ejectedAfterMs = Date.now() - stalledMs;
			return;
		}

		await delay(pollMs);
	}
};

const killEntry = async ({report, fleet, options}: Region): Promise<void> => {
	await delay(killAtMs);
	report.killedHost = options.hosts[1]!.hostId;
	fleet.processes.child(`entry-${report.killedHost}`)?.kill('SIGKILL');
};

const runRegion = async (region: Region): Promise<void> => {
	await Promise.all([sendLoad(region), transferRecording(region), stallInstance(region), killEntry(region)]);
	const {repeated} = await fetchJson<{readonly repeated: Readonly<Record<string, number>>}>(`${region.fleet.backendOperatorUrl}/v1/runs`);
	const atMostOnce = region.deployment.services.filter(({semantics}) => semantics === 'at-most-once').map(({name}) => `${name}-`);
	region.report.repeated = Object.keys(repeated).filter(workId => atMostOnce.some(prefix => workId.startsWith(prefix))).length;
};

const printReport = ({deployment, report}: Region): void => {
	const refused = [...report.refusals.values()].reduce((total, count) => total + count, 0);
	print(`\n${deployment.region}`);
	print(`  requests answered: ${report.answered}`);
	print(`  requests refused or lost: ${refused}`);
	for (const [reason, count] of report.refusals) {
		print(`    ${reason}: ${count}`);
	}

	for (const line of report.recordings) {
		print(`  64 MB ${line}`);
	}

	const noticed = report.ejectedAfterMs === undefined ? 'not noticed' : `ejected, noticed after ${report.ejectedAfterMs} ms`;
	print(`  ${report.stalledInstance} stalled ${stallAtMs} ms after the start, health check still fine: ${noticed}`);
	print(`  entry of ${report.killedHost} killed ${killAtMs} ms after the start`);
	print(`  at-most-once work that ran twice: ${report.repeated}`);
};

const hasPassed = ({report}: Region): boolean => report.answered > 0
	&& report.repeated === 0
	&& report.recordings.length === 2
	&& report.recordings.every(line => line.endsWith('digest equal'));

const regions: Region[] = [];
const stopAll = async (): Promise<void> => {
	await Promise.all(regions.map(async ({client, fleet}) => {
		await fleet.processes.stop();
		await client.close();
	}));
};

process.once('SIGINT', () => {
	// The exit handlers kill the started processes, including those of a fleet that is still starting.
	process.exit(130);
});

try {
	print(`Starting ${gaNorth.region} and ${bagmati.region}: ${hostCount} entry hosts each in three data centres.`);
	for (const deployment of [gaNorth, bagmati]) {
		regions.push(await startRegion(deployment));
	}

	print(`Callers send for ${loadMs / 1000} s.`);
	await Promise.all(regions.map(async region => runRegion(region)));
	for (const region of regions) {
		printReport(region);
	}

	if (!regions.every(region => hasPassed(region))) {
		print('\nThe demo failed: see the report above.');
		process.exitCode = 1;
	}
} finally {
	await stopAll();
}
