import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {Readable} from 'node:stream';
import {expect} from 'chai';
import {recordingDigest} from '@egretwing/standin';
import {createClient, type Client, type ClientResult} from '@egretwing/client';
import {
	createEntryHost, hostPorts, startFleet, type Fleet,
} from '../scripts/lib/fleet.ts';
import {networkOf} from './support/network.ts';

const recordingBytes = 67_108_864;
const chunkBytes = 65_536;
const services = ['rosterview', 'seatledger', 'scorevault'];
const hosts = [1, 2, 3].map(index => createEntryHost(`entry-${index}`, `${networkOf(201)}.${index}`, 'ga-north', `ga-north-${index}`));
const instances = services.flatMap((service, index) => [1, 2].map(number => ({
	hostId: `${service}-${number}`, service, address: `${networkOf(202)}.${(10 * index) + number}`, port: 9000,
})));

const records = [
	...services.map((name, index) => ({
		kind: 'service', schemaVersion: (index % 2) + 1, name, revision: index + 1,
	})),
	{
		kind: 'route', schemaVersion: 1, name: 'rosters', revision: 1, path: '/rosters', service: 'rosterview', repeatable: true,
	},
	{
		kind: 'route', schemaVersion: 2, name: 'seats', revision: 1, pathPrefix: '/seats', service: 'seatledger', semantics: 'at-most-once',
	},
	{
		kind: 'route', schemaVersion: 2, name: 'recordings', revision: 1, pathPrefix: '/recordings', service: 'scorevault', semantics: 'idempotent',
	},
];

/** Creates streams of `recordingBytes` bytes that repeat one block, and their digest. */
const createRecording = () => {
	const block = Buffer.alloc(chunkBytes, 'egretwing');
	const hash = createHash('sha256');
	const count = recordingBytes / chunkBytes;
	for (let index = 0; index < count; index++) {
		hash.update(block);
	}

	return {digest: hash.digest('hex'), open: () => Readable.from(Array.from({length: count}, () => block))};
};

const expectAnswered = (result: ClientResult) => {
	if (result.type === 'failed') {
		throw new Error(`${result.kind}, ran: ${result.ran}`);
	}

	return result;
};

const readText = async (result: ClientResult): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of expectAnswered(result).body) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
};

describe('request path through separate processes', function () {
	this.timeout(60_000);
	let fleet: Fleet;
	let client: Client;

	before(async () => {
		fleet = await startFleet({hosts, instances, records});
		client = createClient({locateAddresses: [{address: `${networkOf(201)}.1`, port: hostPorts.locatePort}], sendTimeoutMs: 20_000});
	});
	after(async () => {
		await client.close();
		await fleet.processes.stop();
	});

	const cases = [
		{
			service: 'rosterview', method: 'GET', path: '/rosters/4', idempotent: true,
		},
		{
			service: 'seatledger', method: 'POST', path: '/seats/4', idempotent: false,
		},
	];
	for (const request of cases) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- the client is set once before the tests
		it(`answers ${request.method} of ${request.service}`, async () => {
			const result = await client.send(request);
			expect(expectAnswered(result).statusCode).to.equal(200);
			expect(await readText(result)).to.include(request.path);
		});
	}

	it('uploads a complete recording of 64 MB', async () => {
		const {digest, open} = createRecording();
		const result = await client.send({
			service: 'scorevault', method: 'PUT', path: '/recordings/rehearsal', body: open, idempotent: true,
		});
		expect(JSON.parse(await readText(result))).to.include({sha256: digest});
	});

	it('downloads a complete recording of 64 MB', async () => {
		const result = expectAnswered(await client.send({
			service: 'scorevault', method: 'GET', path: `/recordings/rehearsal?bytes=${recordingBytes}&seed=1`, idempotent: true,
		}));
		const hash = createHash('sha256');
		let bytes = 0;
		for await (const chunk of result.body) {
			hash.update(chunk as Uint8Array);
			bytes += (chunk as Uint8Array).length;
		}

		expect(bytes).to.equal(recordingBytes);
		expect(hash.digest('hex')).to.equal(recordingDigest(recordingBytes, 1));
	});
});
