/**
 * Passes over the tests listed in KNOWN-RED.txt, and over these only, and prints them.
 *
 * An entry begins with `test: FULL TITLE`. `RUN_KNOWN_RED=1` runs them all the same.
 */

import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const listFile = new URL('../../KNOWN-RED.txt', import.meta.url);
const linePrefix = 'test: ';

/** Full titles listed in the text of KNOWN-RED.txt. */
export const readTitles = (text: string): ReadonlySet<string> => new Set(text.split('\n')
	.filter(line => line.startsWith(linePrefix))
	.map(line => line.slice(linePrefix.length).trim()));

const titles = existsSync(listFile) && process.env.RUN_KNOWN_RED !== '1'
	? readTitles(readFileSync(listFile, 'utf8'))
	: new Set<string>();

export const mochaHooks = {
	beforeEach(this: Mocha.Context): void {
		const title = this.currentTest?.fullTitle() ?? '';
		if (titles.has(title)) {
			console.log(`known red, passed over: ${title}`);
			this.skip();
		}
	},
};
