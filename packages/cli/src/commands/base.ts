/** Shared parts of the commands: output, error messages, and requests to a daemon. */

import {Command, Option} from 'clipanion';
import {request} from 'undici';

const requestTimeoutMs = 3000;

/** Ends a command with its message on one line of stderr and exit code 1. */
export class CommandFailure extends Error {
	override readonly name = 'CommandFailure';
}

/** Base class of the commands. */
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

	/** Runs the command; returns the exit code. */
	abstract run(): Promise<number>;

	protected printLine(line: string): void {
		this.context.stdout.write(`${line}\n`);
	}

	protected printJson(value: unknown): void {
		this.printLine(JSON.stringify(value, undefined, 2));
	}
}

/** Sends a request to the operators' interface at `daemon` (`ADDRESS:PORT`); throws `CommandFailure` unless it answers 200. */
export const requestDaemon = async (daemon: string, method: 'GET' | 'POST', path: string): Promise<unknown> => {
	let answer;
	try {
		answer = await request(`http://${daemon}${path}`, {method, signal: AbortSignal.timeout(requestTimeoutMs)});
	} catch (error) {
		const {code, message} = error as {readonly code?: string; readonly message: string};
		throw new CommandFailure(`${daemon} cannot be reached: ${code ?? message}`);
	}

	const body: unknown = await answer.body.json();
	if (answer.statusCode !== 200) {
		const {error} = body as {readonly error?: string};
		throw new CommandFailure(`${daemon} answered ${answer.statusCode}: ${error ?? 'no reason given'}`);
	}

	return body;
};
