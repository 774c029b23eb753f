import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {agentSettingsSchema} from '@egretwing/agent';
import {entrySettingsSchema} from '@egretwing/entry';

const reference = readFileSync(new URL('../docs/reference/settings.md', import.meta.url), 'utf8');

/** Section of the page under the heading of `program`. */
const sectionFor = (program: string): string => reference.split('\n## ').find(section => section.startsWith(`\`${program}\``)) ?? '';

describe('settings reference', () => {
	const programs = [
		{program: 'egretwing-agent', schema: agentSettingsSchema},
		{program: 'egretwing-entry', schema: entrySettingsSchema},
	];
	for (const {program, schema} of programs) {
		for (const name of Object.keys(schema.shape)) {
			it(`has a line for ${name} of ${program}`, () => {
				expect(sectionFor(program)).to.include(`| \`${name}\` |`);
			});
		}
	}
});
