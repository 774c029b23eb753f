import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {expect} from 'chai';

const program = (failure: string): string => `
	import {createErrorBarrier, createLogger, surviveUncaught} from '@egretwing/node';
	const logger = createLogger('test', 'host', 3, line => console.log(JSON.parse(line).message, JSON.parse(line).place));
	surviveUncaught(() => createErrorBarrier({logger, nowMs: () => 0}));
	${failure}
	setTimeout(() => console.log('goes on'), 50);
`;

describe('process in which an error is not caught', function () {
	this.timeout(20_000);

	// Guards against one request, message or timer that ends a process with all requests in progress.
	const cases: ReadonlyArray<readonly [title: string, failure: string, place: string]> = [
		['a timer', 'setTimeout(() => { throw new Error("unforeseen"); });', 'uncaughtException'],
		['a promise', 'void Promise.reject(new Error("unforeseen"));', 'unhandledRejection'],
		['an event', 'setTimeout(() => process.emit("error", new Error("unforeseen")));', 'uncaughtException'],
	];
	for (const [title, failure, place] of cases) {
		it(`goes on after an error of ${title}`, () => {
			const {stdout, status} = spawnSync(process.execPath, ['--import=tsx', '--conditions=source', '--input-type=module', '-e', program(failure)], {encoding: 'utf8'});
			expect([stdout, status]).to.deep.equal([`unexpected error ${place}\ngoes on\n`, 0]);
		});
	}
});
