/**
 * Runs every file of `scenarios/` on real processes, a few at a time.
 *
 * `SCENARIO=thin-path,floor` runs only the named ones.
 */

import {readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {expect} from 'chai';
import {parseScenario} from './language/parse.ts';
import type {Scenario} from './language/types.ts';
import {checkExpectation} from './runner/check-expectation.ts';
import type {Observations} from './runner/observations.ts';
import {runScenario} from './runner/run.ts';

const folder = new URL('../../scenarios/', import.meta.url);
const parallelRuns = 3;
const scenarioTimeoutMs = 300_000;
/** Second octet of loopback addresses, so that concurrent test runs do not share addresses. */
const networkNumber = 64 + (process.pid % 128);

type Entry = {
	readonly name: string;
	readonly scenario: Scenario;
};

const chosen = process.env.SCENARIO?.split(',');
const entries: readonly Entry[] = readdirSync(folder)
	.map(file => file.replace('.scenario', ''))
	.filter(name => chosen?.includes(name) ?? true)
	.map(name => ({name, scenario: parseScenario(readFileSync(new URL(`${name}.scenario`, folder), 'utf8')).unwrap()}));

/** Starts all scenarios, `parallelRuns` at a time; returns a promise for each. */
const startAll = (): ReadonlyMap<string, Promise<Observations>> => {
	const workers: Array<Promise<unknown>> = Array.from({length: parallelRuns}, async () => undefined);
	const results = new Map<string, Promise<Observations>>();
	for (const [index, {name, scenario}] of entries.entries()) {
		const run = workers[index % parallelRuns]!.then(async () => runScenario(scenario, `127.${networkNumber}.${index + 1}`));
		workers[index % parallelRuns] = run.catch(() => undefined);
		results.set(name, run);
		run.catch(() => undefined);
	}

	return results;
};

const runs = new Map<string, Promise<Observations>>();
const observed = new Map<string, Observations>();

describe('scenario', () => {
	before(() => {
		for (const [name, run] of startAll()) {
			runs.set(name, run);
		}
	});

	for (const {name, scenario} of entries) {
		describe(name, () => {
			before(async function () {
				this.timeout(scenarioTimeoutMs);
				observed.set(name, await runs.get(name)!);
			});

			for (const {text, expectation} of scenario.expectations) {
				it(text, () => {
					expect(checkExpectation(scenario, expectation, observed.get(name)!)).to.deep.equal([]);
				});
			}
		});
	}
});
