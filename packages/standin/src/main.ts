#!/usr/bin/env node
/** Command line of the stand-ins: `egretwing-standin platform|backend SETTINGS.json`. */

import process from 'node:process';
import {loadSettings, onShutdownSignal} from '@egretwing/node';
import type * as z from 'zod';
import {startBackend} from './backend/server.ts';
import {startPlatform} from './platform/server.ts';
import {
	type BackendSettings, backendSettingsSchema, type PlatformSettings, platformSettingsSchema,
} from './settings.ts';

const usage = 'usage: egretwing-standin platform|backend SETTINGS.json';
const usageExitCode = 2;

type Closable = {readonly close: () => Promise<void>};

/** Reports the ports in use to the parent process, as one JSON line on stdout. */
const printReady = (fields: Readonly<Record<string, unknown>>): void => {
	process.stdout.write(`${JSON.stringify({event: 'ready', pid: process.pid, ...fields})}\n`);
};

const fail = (line: string): void => {
	process.stderr.write(`egretwing-standin: ${line}\n`);
	process.exitCode = usageExitCode;
};

const runPlatform = async (settings: PlatformSettings): Promise<Closable> => {
	const platform = await startPlatform(settings);
	printReady({port: platform.port, operatorPort: platform.operatorPort});
	return platform;
};

const runBackend = async (settings: BackendSettings): Promise<Closable> => {
	const backend = await startBackend(settings);
	const ports = Object.fromEntries([...backend.instances].map(([hostId, instance]) => [hostId, instance.port]));
	printReady({operatorPort: backend.operatorPort, ports});
	return backend;
};

const run = async <T>(schema: z.ZodType<T>, file: string, start: (settings: T) => Promise<Closable>): Promise<void> => {
	const settings = loadSettings(schema, file);
	if (settings.isErr()) {
		for (const {field, message} of settings.error) {
			fail(field === '' ? message : `${file}: ${field}: ${message}`);
		}

		return;
	}

	try {
		const running = await start(settings.value);
		onShutdownSignal(() => {
			void running.close();
		});
	} catch (error) {
		fail(error instanceof Error ? error.message : String(error));
	}
};

const [command, file, ...rest] = process.argv.slice(2);
if (file === undefined || rest.length > 0) {
	fail(usage);
} else if (command === 'platform') {
	await run(platformSettingsSchema, file, runPlatform);
} else if (command === 'backend') {
	await run(backendSettingsSchema, file, runBackend);
} else {
	fail(usage);
}
