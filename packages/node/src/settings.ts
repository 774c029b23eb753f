/** Reads and validates the settings file of a daemon. */

import {readFileSync} from 'node:fs';
import {Err, Ok, type Result} from 'ts-results-es';
import type * as z from 'zod';

/** Why settings are invalid. */
export type SettingsIssue = {
	/** Dotted path of the setting; empty for the file itself. */
	readonly field: string;
	/** What is wrong and what is expected. */
	readonly message: string;
};

/** Validates settings against `schema` and applies its defaults; the error lists every invalid field. */
export const resolveConfig = <T>(schema: z.ZodType<T>, values: unknown): Result<T, readonly SettingsIssue[]> => {
	const parsed = schema.safeParse(values);
	if (parsed.success) {
		return Ok(parsed.data);
	}

	return Err(parsed.error.issues.map(issue => ({field: issue.path.join('.'), message: issue.message})));
};

/** Reads `file` as JSON and validates it against `schema`. */
export const loadSettings = <T>(schema: z.ZodType<T>, file: string): Result<T, readonly SettingsIssue[]> => {
	try {
		return resolveConfig(schema, JSON.parse(readFileSync(file, 'utf8')));
	} catch (error) {
		return Err([{field: '', message: `${file}: ${error instanceof Error ? error.message : String(error)}`}]);
	}
};
