/* eslint-disable no-await-in-loop, no-void, unicorn/no-process-exit -- names of the wire; steps in series */
/** Frame of a case: addresses, free ports, the record and the exit code. */

import {writeFileSync} from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

const maxRunMs = 115_000;

/** Exit code of `run.sh`. */
export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Loopback addresses of this run: `127.A.B.n`, with A and B drawn at random. */
export const createNetwork = () => {
	const draw = (least, most) => least + Math.floor(Math.random() * (most - least + 1));
	const prefix = `127.${draw(10, 250)}.${draw(1, 250)}`;
	return number => `${prefix}.${number}`;
};

/** Returns a port that is free on `address`. */
export const findFreePort = async address => new Promise((resolve, reject) => {
	const server = net.createServer();
	server.once('error', reject);
	server.listen(0, address, () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

/**
 * Runs a case. `play` gets the run, returns whether the rule was broken, and registers what has to be ended with `run.defer`.
 * The record is written to `record.txt` in the folder of the case.
 */
export const runCase = async (folder, play) => {
	const startedAtMs = performance.now();
	const lines = [];
	const cleanups = [];
	const run = {
		isTrouble: process.env.TROUBLE !== '0',
		nowMs: () => performance.now() - startedAtMs,
		note(text) {
			lines.push(`${(run.nowMs() / 1000).toFixed(3)} ${text}`);
		},
		/** Adds a line that is also printed. */
		say(text) {
			run.note(text);
			console.log(text);
		},
		defer(cleanup) {
			cleanups.push(cleanup);
		},
	};
	const end = async exitCode => {
		for (const cleanup of cleanups.toReversed()) {
			await cleanup();
		}

		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.exit(exitCode);
	};

	setTimeout(() => {
		run.say('not run: took too long');
		void end(exitCodes.notRun);
	}, maxRunMs).unref();
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			run.say(`not run: ${signal}`);
			void end(exitCodes.notRun);
		});
	}

	try {
		run.say(`disruption: ${run.isTrouble ? 'yes' : 'no'}`);
		const isBroken = await play(run);
		run.say(isBroken ? 'result: the rule was broken' : 'result: the rule held');
		await end(isBroken ? exitCodes.broken : exitCodes.held);
	} catch (error) {
		run.say(`not run: ${error.stack}`);
		await end(exitCodes.notRun);
	}
};

/** Waits until `isDone` returns true; throws after `limitMs`. */
export const waitFor = async (what, isDone, limitMs = 10_000) => {
	const untilMs = performance.now() + limitMs;
	while (!await isDone()) {
		if (performance.now() > untilMs) {
			throw new Error(`no ${what} within ${limitMs} ms`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}
};
