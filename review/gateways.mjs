/* eslint-disable camelcase -- names of the wire; steps in series */
/** Starts gateways with the command of the deploy file and stands in for the platform that keeps them running. */

import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {findFreePort, waitFor} from './run.mjs';

const root = fileURLToPath(new URL('../', import.meta.url));
const restartAfterMs = 300;
const memoryCheckMs = 20;
const bytesPerKilobyte = 1024;
const bytesPerMegabyte = 1_048_576;

/** Words of the command of a role in the deploy file. */
const deployCommand = () => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"/mv.exec(text).groups.command.split(' ');
};

const residentBytes = pid => {
	try {
		return Number(/^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups.kilobytes ?? 0) * bytesPerKilobyte;
	} catch {
		return 0;
	}
};

const getText = async (address, port, target, timeoutMs = 1000) => new Promise(resolve => {
	const request = http.get({
		host: address, port, path: target, agent: false, timeout: timeoutMs,
	}, response => {
		let text = '';
		response.setEncoding('utf8').on('data', chunk => {
			text += chunk;
		});
		response.once('end', () => {
			resolve({statusCode: response.statusCode, text});
		});
		response.once('error', () => {
			resolve(undefined);
		});
	});
	request.once('timeout', () => {
		request.destroy();
	});
	request.once('error', () => {
		resolve(undefined);
	});
});

/**
 * Starts one gateway for each of `machines` ({name, address, zone}); a process that ends is started again. One whose memory exceeds
 * `memoryMegabytes` is killed, which `onMemoryKill` tells.
 */
export const startGateways = async (run, {
	machines, store, seedsOf = () => machines.slice(0, 3).map(({address}) => address), peerPort, memoryMegabytes = 350, onMemoryKill = () => undefined, onStart = () => undefined,
}) => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-review-'));
	const [program, ...words] = deployCommand();
	const command = program === 'node' ? process.execPath : program;
	const ports = {
		front: await findFreePort(machines[0].address), ready: await findFreePort(machines[0].address), directory: await findFreePort(machines[0].address), control: await findFreePort(machines[0].address), peer: peerPort ?? await findFreePort(machines[0].address),
	};
	const children = new Map();
	let isStopping = false;
	let peakBytes = 0;

	const settingsOf = machine => ({
		hostId: machine.name,
		address: machine.address,
		region: 'region',
		dataCentre: machine.zone,
		entryListener: `${machine.address}:${ports.front}`,
		readinessListener: `${machine.address}:${ports.ready}`,
		locateListener: `${machine.address}:${ports.directory}`,
		peerPort: ports.peer,
		seeds: seedsOf(machine).map(seed => `${seed}:${ports.control}`),
		cpuShare: 0.54,
		cores: 1,
		linkMegabitsPerSecond: 1000,
		storeAddress: `${store.address}:${store.port}`,
		bounds: {
			seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 62, recovery_s: 15, ttl_max_s: 5, probes_per_s: 3, floor_share: 0.7,
		},
	});

	const start = machine => {
		const file = path.join(folder, `${machine.name}.yaml`);
		writeFileSync(file, JSON.stringify(settingsOf(machine)));
		const child = spawn(command, words, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '/', EGRETWING_CONFIG: file}, stdio: ['ignore', 'pipe', 'pipe']});
		children.set(machine.name, child);
		run.note(`${machine.name} started, process ${child.pid}`);
		onStart(machine, child);
		const logLine = text => {
			if (process.env.REVIEW_LOG === '1') {
				process.stderr.write(text);
			}
		};

		child.stdout.setEncoding('utf8').on('data', logLine);
		child.stderr.setEncoding('utf8').on('data', text => {
			run.note(`${machine.name} stderr: ${text.trim().slice(0, 400)}`);
			logLine(text);
		});
		child.once('exit', (code, signal) => {
			run.note(`${machine.name} process ${child.pid} ended with ${code ?? signal}`);
			if (!isStopping) {
				setTimeout(() => {
					if (!isStopping) {
						start(machine);
					}
				}, restartAfterMs);
			}
		});
	};

	for (const machine of machines) {
		start(machine);
	}

	const memoryTimer = setInterval(() => {
		for (const [name, child] of children) {
			const usedBytes = child.exitCode === null && child.signalCode === null ? residentBytes(child.pid) : 0;
			peakBytes = Math.max(peakBytes, usedBytes);
			if (usedBytes > memoryMegabytes * bytesPerMegabyte) {
				run.note(`${name} uses ${Math.round(usedBytes / bytesPerMegabyte)} MB of ${memoryMegabytes}: the platform kills process ${child.pid}`);
				onMemoryKill(name, usedBytes);
				child.kill('SIGKILL');
			}
		}
	}, memoryCheckMs);
	run.defer(async () => {
		isStopping = true;
		clearInterval(memoryTimer);
		await Promise.all([...children.values()].map(async child => {
			if (child.exitCode === null && child.signalCode === null) {
				const ended = new Promise(resolve => {
					child.once('exit', resolve);
				});
				child.kill('SIGCONT');
				child.kill('SIGKILL');
				await ended;
			}
		}));
		rmSync(folder, {recursive: true, force: true});
	});

	await waitFor('ready gateways', async () => {
		const states = await Promise.all(machines.map(async ({address}) => getText(address, ports.ready, '/readiness')));
		return states.every(state => state?.statusCode === 200);
	}, 20_000);
	return {
		ports,
		child: name => children.get(name),
		peakMegabytes: () => Math.round(peakBytes / bytesPerMegabyte),
		async isReady({address}) {
			const answer = await getText(address, ports.ready, '/readiness');
			return answer?.statusCode === 200;
		},
		/** Addresses that the directory of `machine` names to a caller of `zone`. */
		async lookup(machine, zone) {
			const answer = await getText(machine.address, ports.directory, `/lookup?name=review.example&region=region&zone=${zone}`);
			return answer?.statusCode === 200 ? JSON.parse(answer.text).addresses : [];
		},
	};
};
