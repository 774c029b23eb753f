/**
 * Mocha hook that skips the tests listed in KNOWN-RED.txt, and only these, and prints their titles.
 *
 * An entry begins with `test: FULL TITLE`. `RUN_KNOWN_RED=1` runs the listed tests, too.
 */

import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const listFile = new URL('../../KNOWN-RED.txt', import.meta.url);
const testPrefix = 'test: ';

/** Returns the full titles that the text of KNOWN-RED.txt lists. */
export const readTitles = (text: string): ReadonlySet<string> => new Set(text.split('\n')
	.filter(line => line.startsWith(testPrefix))
	.map(line => line.slice(testPrefix.length).trim()));

const titles = existsSync(listFile) && process.env.RUN_KNOWN_RED !== '1'
	? readTitles(readFileSync(listFile, 'utf8'))
	: new Set<string>();

export const mochaHooks = {
	beforeEach(this: Mocha.Context): void {
		const title = this.currentTest?.fullTitle() ?? '';
		if (titles.has(title)) {
			console.log(`known red, skipped: ${title}`);
			this.skip();
		}
	},
};
