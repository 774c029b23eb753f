/**
 * Starts daemons and stand-ins as child processes with a settings file each, and stops them.
 *
 * Used by the demo, the experiments and the scenarios; the daemons themselves start no processes.
 */

import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));
const shutdownTimeoutMs = 5000;

const programFiles = {
	agent: 'packages/agent/dist/main.js',
	entry: 'packages/entry/dist/main.js',
	standin: 'packages/standin/dist/main.js',
	cli: 'packages/cli/dist/main.js',
};

/** Arguments for Node.js itself, such as `--cpu-prof`, from the environment. */
const nodeArguments = (process.env.DAEMON_NODE_ARGS ?? '').split(' ').filter(argument => argument !== '');

/** Programs that can be started. */
export type Program = keyof typeof programFiles;

/** Path of the compiled entry point of a program. */
export const programFile = (program: Program): string => path.join(root, programFiles[program]);

/** Running processes by name. */
export type Processes = {
	/** Starts `program` with `settings` written to a file; `leading` arguments precede the file. */
	readonly start: (name: string, program: Program, settings: unknown, leading?: readonly string[]) => ChildProcess;
	/** Running process of that name. */
	readonly child: (name: string) => ChildProcess | undefined;
	/** Sends SIGTERM to all processes, kills those that do not exit within 5 s, and removes their settings files. */
	readonly stop: () => Promise<void>;
	/** Kills all processes at once and removes their settings files. */
	readonly kill: () => void;
};

/** Sends SIGTERM to a running process, after SIGCONT in case it is paused, and kills it after 5 s. */
export const endProcess = async (child: ChildProcess): Promise<void> => {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const ended = new Promise(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGCONT');
	child.kill('SIGTERM');
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, shutdownTimeoutMs);
	await ended;
	clearTimeout(timer);
};

/** Creates an empty set of processes; their logs are discarded unless `logs` is `'inherit'`. */
export const createProcesses = (logs: 'ignore' | 'inherit' = 'ignore'): Processes => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-'));
	const children = new Map<string, ChildProcess>();
	const kill = (): void => {
		for (const child of children.values()) {
			child.kill('SIGKILL');
		}

		rmSync(folder, {recursive: true, force: true});
	};

	process.once('exit', kill);
	return {
		start(name, program, settings, leading = []) {
			const file = path.join(folder, `${name}.json`);
			writeFileSync(file, JSON.stringify(settings));
			const child = spawn(process.execPath, [...nodeArguments, programFile(program), ...leading, file], {stdio: ['ignore', 'pipe', logs]});
			children.set(name, child);
			child.once('exit', () => {
				if (children.get(name) === child) {
					children.delete(name);
				}
			});
			return child;
		},
		child: name => children.get(name),
		async stop() {
			await Promise.all([...children.values()].map(async child => endProcess(child)));
			rmSync(folder, {recursive: true, force: true});
			process.off('exit', kill);
		},
		kill,
	};
};

/** Resolves with the first line that a stand-in prints, parsed as JSON; rejects when it exits before that. */
export const readReadyLine = async <T>(child: ChildProcess): Promise<T> => new Promise((resolve, reject) => {
	let text = '';
	child.once('exit', code => {
		reject(new Error(`stand-in exited with code ${code} before it was ready`));
	});
	child.stdout?.on('data', (chunk: Uint8Array) => {
		text += String(chunk);
		const end = text.indexOf('\n');
		if (end !== -1) {
			resolve(JSON.parse(text.slice(0, end)) as T);
		}
	});
});
