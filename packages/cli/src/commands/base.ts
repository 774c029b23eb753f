/** What the commands share: output, failure lines, and asking a daemon. */

import {Command, Option} from 'clipanion';
import {request} from 'undici';

const askTimeoutMs = 3000;

/** Ends a command with one clear line and exit code 1. */
export class CommandFailure extends Error {
	override readonly name = 'CommandFailure';
}

/** Base of the commands. */
export abstract class BaseCommand extends Command {
	readonly json = Option.Boolean('--json', false, {description: 'print JSON'});

	async execute(): Promise<number> {
		try {
			return await this.run();
		} catch (error) {
			if (!(error instanceof CommandFailure)) {
				throw error;
			}

			this.context.stderr.write(`egretwing: ${error.message}\n`);
			return 1;
		}
	}

	/** Does the work of the command; returns the exit code. */
	abstract run(): Promise<number>;

	protected printLine(line: string): void {
		this.context.stdout.write(`${line}\n`);
	}

	protected printJson(value: unknown): void {
		this.printLine(JSON.stringify(value, undefined, 2));
	}
}

/** Asks the operators' interface at `daemon` (`ADDRESS:PORT`); fails with a clear line. */
export const askDaemon = async (daemon: string, method: 'GET' | 'POST', path: string): Promise<unknown> => {
	let answer;
	try {
		answer = await request(`http://${daemon}${path}`, {method, signal: AbortSignal.timeout(askTimeoutMs)});
	} catch (error) {
		const {code, message} = error as {readonly code?: string; readonly message: string};
		throw new CommandFailure(`${daemon} can not be reached: ${code ?? message}`);
	}

	const body: unknown = await answer.body.json();
	if (answer.statusCode !== 200) {
		const {error} = body as {readonly error?: string};
		throw new CommandFailure(`${daemon} answered ${answer.statusCode}: ${error ?? 'no reason given'}`);
	}

	return body;
};
