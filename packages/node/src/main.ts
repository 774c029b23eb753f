/** Starts a daemon with the settings file given on its command line. */

import process from 'node:process';
import type * as z from 'zod';
import {loadSettings} from './settings.ts';

const usageExitCode = 2;

/** Validates the settings of `program` and passes them to `start`; prints the errors and sets exit code 2 if they are invalid. */
export const runDaemon = async <T>(program: string, schema: z.ZodType<T>, start: (settings: T) => Promise<void>): Promise<void> => {
	const [file, ...rest] = process.argv.slice(2);
	if (file === undefined || file.startsWith('-') || rest.length > 0) {
		process.stderr.write(`usage: ${program} SETTINGS.json\n`);
		process.exitCode = usageExitCode;
		return;
	}

	const settings = loadSettings(schema, file);
	if (settings.isErr()) {
		for (const {field, message} of settings.error) {
			process.stderr.write(`${program}: ${field === '' ? '' : `${file}: ${field}: `}${message}\n`);
		}

		process.exitCode = usageExitCode;
		return;
	}

	await start(settings.value);
};
