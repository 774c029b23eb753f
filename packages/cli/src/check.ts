/** Checks files of records or settings and says what is wrong in them. */

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
	/** What is wrong and what would be right. */
	readonly message: string;
};

type Issue = Omit<Finding, 'file'>;

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

const joinPath = (prefix: string, field: string): string => [prefix, field].filter(part => part !== '').join('.');

const checkRecord = (written: unknown, prefix: string): readonly Issue[] => {
	const parsed = parseRecord(written);
	return parsed.isOk()
		? []
		: parsed.error.map(({field, message}) => ({field: joinPath(prefix, field), message}));
};

const checkSettings = (written: Readonly<Record<string, unknown>>): readonly Issue[] => {
	const schema = 'locatePort' in written ? agentSettingsSchema : entrySettingsSchema;
	const resolved = resolveConfig<unknown>(schema, written);
	return resolved.isOk() ? [] : resolved.error;
};

const checkParsed = (written: unknown): readonly Issue[] => {
	if (Array.isArray(written)) {
		return written.flatMap((record: unknown, index) => checkRecord(record, String(index)));
	}

	if (isObject(written) && 'kind' in written) {
		return checkRecord(written, '');
	}

	if (isObject(written) && 'hostId' in written) {
		return checkSettings(written);
	}

	return [{field: '', message: 'neither a record (with "kind"), a list of records, nor settings (with "hostId")'}];
};

/** Checks one file: a record, a list of records, or the settings of an agent or an entry. */
export const checkFile = (file: string): readonly Finding[] => {
	let written: unknown;
	try {
		written = JSON.parse(readFileSync(file, 'utf8'));
	} catch (error) {
		return [{file, field: '', message: `can not be read as JSON: ${(error as Error).message}`}];
	}

	return checkParsed(written).map(issue => ({file, ...issue}));
};
