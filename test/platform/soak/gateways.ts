/** Runs the gateway program as separate processes, to which faults are injected by signals only. */

import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {bundleGateway} from '../../../scripts/lib/bundle.ts';
import {endProcess} from '../../../scripts/lib/processes.ts';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const restartAfterMs = 300;
/** Number of gateways that each gateway is told to join by. */
export const seedCount = 2;
/** How often memory is looked at: with a limit to enforce, and without. */
const memoryCheckMs = {limited: 20, unlimited: 200} as const;
const bytesPerKilobyte = 1024;
const bytesPerMegabyte = 1_048_576;

/** Ports of a gateway; each gateway has its own address. */
export const gatewayPorts = {
	front: 7000, ready: 7001, lookup: 7002, peer: 7003, control: 7004, store: 7005,
} as const;

/** Port of the operators' interface, on the address of each gateway. */
export const operatorPort = 9464;

/** Options of Node.js in the deploy file. */
const nodeArguments = (heapMegabytes: number | undefined): readonly string[] => {
	const command = /^run = "(?<command>[^"]+)"/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))?.groups?.command ?? '';
	const deployed = command.split(' ').filter(word => word.startsWith('--'));
	return heapMegabytes === undefined ? deployed : deployed.map(word => word.replace(/^--max-old-space-size=.*$/v, `--max-old-space-size=${heapMegabytes}`));
};

/** Resident memory of a process; 0 once it has ended. */
const residentBytes = (pid: number): number => {
	try {
		return Number(/^VmRSS:\s+(\d+)/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * bytesPerKilobyte;
	} catch {
		return 0;
	}
};

/** One process of a gateway, from its start to its end. */
type ProcessRecord = {
	readonly number: number;
	readonly startedAtMs: number;
	peakBytes: number;
	/** Last line of its output that says something: neither a place in a stack nor the end of a dump. */
	lastLine: string;
	/** Whether the run itself ended the process. */
	isSignalled: boolean;
	isOverMemory: boolean;
	ended?: {readonly by: number | NodeJS.Signals; readonly ageMs: number};
};

const longestLine = 300;

const lastLineOf = (text: string): string | undefined =>
	text.split('\n').findLast(line => /^[^\s\}]/v.test(line) && !line.startsWith('Node.js v'))?.slice(0, longestLine);

const describeEnd = ({number, peakBytes, lastLine, isOverMemory, ended}: ProcessRecord): string => {
	const cause = isOverMemory ? 'was killed for its memory' : `ended with ${ended?.by}`;
	return `gateway-${number} ${cause} after ${Math.round(ended?.ageMs ?? 0)} ms, peak ${Math.round(peakBytes / bytesPerMegabyte)} MB, last line: ${lastLine}`;
};

/** Builds the program as the platform runs it; returns the path of its file. */
export const buildGateway = async (): Promise<string> => bundleGateway(path.join(root, 'target/soak'));

/** Running gateways by number. */
export type SoakGateways = {
	/** Sends a signal to the current process of a gateway, if there is one. */
	readonly signal: (number: number, signal: NodeJS.Signals) => void;
	/** Cuts the settings file of a gateway in half, as while the platform writes it; returns a function that makes it whole. */
	readonly cutSettings: (number: number) => () => void;
	/** Id of the current process; undefined before the first start. */
	readonly pid: (number: number) => number | undefined;
	/** Age of the current process; undefined once it has ended. */
	readonly ageMs: (number: number) => number | undefined;
	/** Replaces the seeds in the settings file of a gateway, as the platform does before SIGHUP. */
	readonly writeSeeds: (number: number, seeds: readonly string[]) => void;
	/** Number of times that the gateway was started. */
	readonly startCount: (number: number) => number;
	/** Largest resident memory of a process that was seen so far. */
	readonly peakMegabytes: () => number;
	/** Exits that were not caused by a signal of the run, and those for memory over the limit. */
	readonly unexpectedExits: () => readonly string[];
	/** Output of the processes, in order. */
	readonly logs: () => readonly string[];
	readonly stop: () => Promise<void>;
};

/** Options of the gateways. */
export type SoakGatewaysOptions = {
	readonly file: string;
	readonly addresses: readonly string[];
	readonly dataCentreOf: (number: number) => string;
	readonly storeAddress: string;
	/** Limit on the descriptors of a process; that of this process where it is absent. */
	readonly maxDescriptors?: number;
	/** Memory above which a process is killed, as the platform does; its exit counts as unexpected. */
	readonly memoryMegabytes?: number;
	/** Limit on the JavaScript heap; that of the deploy file where it is absent. */
	readonly heapMegabytes?: number;
	/** Descriptors that the settings name, whatever the limit on the process is. */
	readonly descriptors?: number;
};

const maxLogLines = 200_000;

/** Starts the gateways; one that exits is restarted, as the platform does. */
export const startGateways = ({
	file, addresses, dataCentreOf, storeAddress, memoryMegabytes, maxDescriptors, heapMegabytes, descriptors,
}: SoakGatewaysOptions): SoakGateways => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-soak-'));
	const children = new Map<number, ChildProcess>();
	const startCounts = new Map<number, number>();
	const records = new Map<ChildProcess, ProcessRecord>();
	const logs: string[] = [];
	const leadingArguments = nodeArguments(heapMegabytes);
	let isStopping = false;
	let peakBytes = 0;

	const settingsOf = (number: number, seeds: readonly string[]) => {
		const address = addresses[number]!;
		return {
			hostId: `gateway-${number}`,
			address,
			region: 'region-1',
			dataCentre: dataCentreOf(number),
			entryListener: `${address}:${gatewayPorts.front}`,
			readinessListener: `${address}:${gatewayPorts.ready}`,
			locateListener: `${address}:${gatewayPorts.lookup}`,
			peerPort: gatewayPorts.peer,
			seeds: seeds.map(seed => `${seed}:${gatewayPorts.control}`),
			cpuShare: 1,
			cores: 1,
			linkMegabitsPerSecond: 1000,
			storeAddress: `${storeAddress}:${gatewayPorts.store}`,
			bounds: {grace_s: 2},
			memoryMegabytes,
			maxDescriptors: descriptors,
		};
	};

	const settingsFile = (number: number): string => path.join(folder, `${number}.json`);
	const writeSeeds = (number: number, seeds: readonly string[]): void => {
		writeFileSync(settingsFile(number), JSON.stringify(settingsOf(number, seeds)));
	};

	/** What a signal of the run ends from now on isn't an end of its own. */
	const excuse = (child: ChildProcess): void => {
		const record = records.get(child)!;
		record.isSignalled ||= record.ended === undefined;
	};

	const start = (number: number): void => {
		const settings = settingsFile(number);
		const startedAtMs = performance.now();
		const command = [process.execPath, ...leadingArguments, file];
		const limited = maxDescriptors === undefined ? command : ['/bin/sh', '-c', `ulimit -n ${maxDescriptors}; exec "$@"`, 'sh', ...command];
		const child = spawn(limited[0]!, limited.slice(1), {env: {EGRETWING_CONFIG: settings}, stdio: ['ignore', 'pipe', 'pipe']});
		const record: ProcessRecord = {
			number, startedAtMs, peakBytes: 0, lastLine: '', isSignalled: false, isOverMemory: false,
		};
		children.set(number, child);
		records.set(child, record);
		startCounts.set(number, (startCounts.get(number) ?? 0) + 1);
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8').on('data', (text: string) => {
				record.lastLine = lastLineOf(text) ?? record.lastLine;
				if (logs.length < maxLogLines) {
					logs.push(text);
				}
			});
		}

		child.once('exit', (code, signal) => {
			record.ended = {by: code ?? signal ?? 0, ageMs: performance.now() - startedAtMs};
			if (!isStopping) {
				setTimeout(() => {
					if (!isStopping) {
						start(number);
					}
				}, restartAfterMs);
			}
		});
	};

	const checkMemory = (limitMegabytes: number): void => {
		for (const child of children.values()) {
			const record = records.get(child)!;
			const usedBytes = record.ended === undefined ? residentBytes(child.pid!) : 0;
			record.peakBytes = Math.max(record.peakBytes, usedBytes);
			peakBytes = Math.max(peakBytes, usedBytes);
			if (usedBytes > limitMegabytes * bytesPerMegabyte) {
				record.isOverMemory = true;
				child.kill('SIGKILL');
			}
		}
	};

	for (const number of addresses.keys()) {
		writeSeeds(number, addresses.slice(0, seedCount));
		start(number);
	}

	const memoryTimer = setInterval(checkMemory, memoryMegabytes === undefined ? memoryCheckMs.unlimited : memoryCheckMs.limited, memoryMegabytes ?? Number.POSITIVE_INFINITY);
	return {
		signal(number, signal) {
			const child = children.get(number);
			if (child === undefined) {
				return;
			}

			if (signal === 'SIGKILL' || signal === 'SIGTERM') {
				excuse(child);
			}

			child.kill(signal);
		},
		cutSettings(number) {
			const text = readFileSync(settingsFile(number), 'utf8');
			writeFileSync(settingsFile(number), text.slice(0, text.length / 2));
			return () => {
				writeFileSync(settingsFile(number), text);
			};
		},
		pid: number => children.get(number)?.pid,
		ageMs(number) {
			const record = records.get(children.get(number)!);
			return record === undefined || record.ended !== undefined ? undefined : performance.now() - record.startedAtMs;
		},
		writeSeeds,
		startCount: number => startCounts.get(number) ?? 0,
		peakMegabytes: () => Math.round(peakBytes / bytesPerMegabyte),
		unexpectedExits: () => [...records.values()].filter(({isSignalled, isOverMemory, ended}) => ended !== undefined && (isOverMemory || !isSignalled)).map(record => describeEnd(record)),
		logs: () => logs,
		async stop() {
			isStopping = true;
			clearInterval(memoryTimer);
			await Promise.all([...children.values()].map(async child => {
				excuse(child);
				await endProcess(child);
			}));
			rmSync(folder, {recursive: true, force: true});
		},
	};
};
