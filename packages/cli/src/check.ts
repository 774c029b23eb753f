/** Validates files of records or settings. */

import {readFileSync} from 'node:fs';
import {agentSettingsSchema} from '@egretwing/agent';
import {parseRecord} from '@egretwing/core';
import {entrySettingsSchema} from '@egretwing/entry';
import {resolveConfig} from '@egretwing/node';

/** One finding in a file. */
export type Finding = {
	readonly file: string;
	/** Dotted path of the field; empty for the whole file. */
	readonly field: string;
	/** What is wrong and what is expected. */
	readonly message: string;
};

type Issue = Omit<Finding, 'file'>;

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

const joinPath = (prefix: string, field: string): string => [prefix, field].filter(part => part !== '').join('.');

const checkRecord = (input: unknown, prefix: string): readonly Issue[] => {
	const parsed = parseRecord(input);
	return parsed.isOk()
		? []
		: parsed.error.map(({field, message}) => ({field: joinPath(prefix, field), message}));
};

const checkSettings = (input: Readonly<Record<string, unknown>>): readonly Issue[] => {
	const schema = 'locatePort' in input ? agentSettingsSchema : entrySettingsSchema;
	const resolved = resolveConfig<unknown>(schema, input);
	return resolved.isOk() ? [] : resolved.error;
};

const checkParsed = (input: unknown): readonly Issue[] => {
	if (Array.isArray(input)) {
		return input.flatMap((record: unknown, index) => checkRecord(record, String(index)));
	}

	if (isObject(input) && 'kind' in input) {
		return checkRecord(input, '');
	}

	if (isObject(input) && 'hostId' in input) {
		return checkSettings(input);
	}

	return [{field: '', message: 'neither a record (with "kind"), a list of records, nor settings (with "hostId")'}];
};

/** Validates one file: a record, a list of records, or the settings of an agent or an entry. */
export const checkFile = (file: string): readonly Finding[] => {
	let input: unknown;
	try {
		input = JSON.parse(readFileSync(file, 'utf8'));
	} catch (error) {
		return [{file, field: '', message: `cannot be read as JSON: ${(error as Error).message}`}];
	}

	return checkParsed(input).map(issue => ({file, ...issue}));
};
