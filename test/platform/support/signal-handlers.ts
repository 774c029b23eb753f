/** Measures how soon after its start a process handles SIGHUP. */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Program that does nothing but handle SIGHUP. */
export const idleProgram = 'process.on("SIGHUP", () => undefined); setTimeout(() => undefined, 5000)';

/** Whether a process handles SIGHUP, according to the mask of caught signals in Linux's /proc. */
export const catchesHangup = (pid: number): boolean => {
	const mask = /^SigCgt:\s*([\da-f]+)$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0';
	return Number.parseInt(mask.at(-1)!, 16) % 2 === 1;
};

/** Time from the start of Node.js with `args` until it handles SIGHUP; the process is killed then. */
export const handlerDelayMs = async (args: readonly string[]): Promise<number> => {
	const startedAtMs = performance.now();
	const child = spawn(process.execPath, args, {env: {EGRETWING_CONFIG: '/dev/null'}, stdio: 'ignore'});
	const ended = once(child, 'exit');
	while (child.exitCode === null && child.signalCode === null && !catchesHangup(child.pid!)) {
		await nextTurn();
	}

	const delayMs = performance.now() - startedAtMs;
	child.kill('SIGKILL');
	await ended;
	return delayMs;
};

/** The middle one of an odd number of values. */
export const median = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
