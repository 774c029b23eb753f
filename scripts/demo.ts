/** The demo: both deployments at a small size, a gray failure, a killed entry, and a printed account. */

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
const requestGapMs = 25;
const pollMs = 100;

type Account = {
	answered: number;
	readonly refusals: Map<string, number>;
	readonly recordings: string[];
	stalledInstance: string;
	killedHost: string;
	noticedAfterMs: number | undefined;
	repeated: number;
};

type Region = {
	readonly deployment: Deployment;
	readonly options: FleetOptions;
	readonly fleet: Fleet;
	readonly client: Client;
	readonly account: Account;
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
		account: {
			answered: 0, refusals: new Map(), recordings: [], stalledInstance: '', killedHost: '', noticedAfterMs: undefined, repeated: 0,
		},
	};
};

const countRefusal = ({account}: Region, reason: string): void => {
	account.refusals.set(reason, (account.refusals.get(reason) ?? 0) + 1);
};

const sendOne = async (region: Region, service: DeploymentService, index: number): Promise<void> => {
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
			region.account.answered++;
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
		pending.push(sendOne(region, services[index % services.length]!, index));
		await delay(requestGapMs);
	}

	await Promise.all(pending);
};

const uploadRecording = async ({client, account}: Region, service: string, digest: string): Promise<void> => {
	const result = await client.send({
		service, method: 'PUT', path: '/recordings/rehearsal', idempotent: true, headers: {'x-sha256': digest}, body: () => Readable.from(recordingChunks(recordingBytes, 1)),
	});
	if (result.type === 'failed') {
		account.recordings.push(`upload to ${service}: ${result.kind}`);
		return;
	}

	const answer = JSON.parse(Buffer.concat(await result.body.toArray() as Buffer[]).toString()) as {readonly sha256: string};
	account.recordings.push(`upload to ${service}: ${answer.sha256 === digest ? 'digest equal' : 'DIGEST DIFFERS'}`);
};

const downloadRecording = async ({client, account}: Region, service: string, digest: string): Promise<void> => {
	const result = await client.send({
		service, method: 'GET', path: `/recordings/rehearsal?bytes=${recordingBytes}&seed=1`, idempotent: true,
	});
	if (result.type === 'failed') {
		account.recordings.push(`download from ${service}: ${result.kind}`);
		return;
	}

	const hash = createHash('sha256');
	for await (const chunk of result.body as AsyncIterable<Uint8Array>) {
		hash.update(chunk);
	}

	account.recordings.push(`download from ${service}: ${hash.digest('hex') === digest ? 'digest equal' : 'DIGEST DIFFERS'}`);
};

const passRecording = async (region: Region): Promise<void> => {
	const service = region.deployment.services.find(({pathPrefix}) => pathPrefix === '/recordings')!.name;
	const digest = recordingDigest(recordingBytes, 1);
	await uploadRecording(region, service, digest);
	await downloadRecording(region, service, digest);
};

/** True once an entry host holds the stalled instance ejected. */
const isEjected = async ({options, account}: Region, service: string): Promise<boolean> => {
	const ejected = await Promise.all(options.hosts.map(async ({address}) => fetchEjected(`http://${address}:${hostPorts.entryOperatorPort}`, [service])));
	return ejected.flat().includes(account.stalledInstance);
};

/** Stalls an instance, which goes on answering its health check, and watches for the first ejection. */
const failGrayly = async (region: Region): Promise<void> => {
	await delay(stallAtMs);
	const {account, fleet, deployment} = region;
	const service = deployment.services[0]!.name;
	account.stalledInstance = `${service}-2`;
	await fetchJson(`${fleet.backendOperatorUrl}/v1/fault`, {
		method: 'POST', body: JSON.stringify({instances: [account.stalledInstance], fault: {type: 'stall'}}),
	});
	const stalledMs = Date.now();
	while (Date.now() - stalledMs < loadMs - stallAtMs) {
		if (await isEjected(region, service)) {
			account.noticedAfterMs = Date.now() - stalledMs;
			return;
		}

		await delay(pollMs);
	}
};

const killEntry = async ({account, fleet, options}: Region): Promise<void> => {
	await delay(killAtMs);
	account.killedHost = options.hosts[1]!.hostId;
	fleet.processes.child(`entry-${account.killedHost}`)?.kill('SIGKILL');
};

const runRegion = async (region: Region): Promise<void> => {
	await Promise.all([sendLoad(region), passRecording(region), failGrayly(region), killEntry(region)]);
	const {repeated} = await fetchJson<{readonly repeated: Readonly<Record<string, number>>}>(`${region.fleet.backendOperatorUrl}/v1/runs`);
	const atMostOnce = region.deployment.services.filter(({semantics}) => semantics === 'at-most-once').map(({name}) => `${name}-`);
	region.account.repeated = Object.keys(repeated).filter(workId => atMostOnce.some(prefix => workId.startsWith(prefix))).length;
};

const printAccount = ({deployment, account}: Region): void => {
	const refused = [...account.refusals.values()].reduce((total, count) => total + count, 0);
	print(`\n${deployment.region}`);
	print(`  requests answered: ${account.answered}`);
	print(`  requests refused or lost: ${refused}`);
	for (const [reason, count] of account.refusals) {
		print(`    ${reason}: ${count}`);
	}

	for (const line of account.recordings) {
		print(`  64 MB ${line}`);
	}

	const noticed = account.noticedAfterMs === undefined ? 'not noticed' : `ejected, noticed after ${account.noticedAfterMs} ms`;
	print(`  ${account.stalledInstance} stalled ${stallAtMs} ms after the start, health check still fine: ${noticed}`);
	print(`  entry of ${account.killedHost} killed ${killAtMs} ms after the start`);
	print(`  at-most-once work that ran twice: ${account.repeated}`);
};

const isSound = ({account}: Region): boolean => account.answered > 0
	&& account.repeated === 0
	&& account.recordings.length === 2
	&& account.recordings.every(line => line.endsWith('digest equal'));

const regions: Region[] = [];
const stopAll = async (): Promise<void> => {
	await Promise.all(regions.map(async ({client, fleet}) => {
		await fleet.processes.stop();
		await client.close();
	}));
};

process.once('SIGINT', () => {
	// Ends the started processes, too; those that are still starting included.
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
		printAccount(region);
	}

	if (!regions.every(region => isSound(region))) {
		print('\nThe demo did not go as it should.');
		process.exitCode = 1;
	}
} finally {
	await stopAll();
}
