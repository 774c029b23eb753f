/** `egretwing trace FILE REQUEST-ID` */

import {readFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {traceRequest} from '../trace.ts';
import {BaseCommand, CommandFailure} from './base.ts';

const readLog = (file: string): string => {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new CommandFailure(`${file} cannot be read: ${error instanceof Error ? error.message : String(error)}`);
	}
};

/** Prints the log lines that belong to one request. */
export class TraceCommand extends BaseCommand {
	static override readonly paths = [['trace']];
	static override readonly usage = Command.Usage({
		description: 'show what happened to one request, from the log lines of gateways',
		details: 'FILE holds the JSON lines of one or more gateways, in any order. Lines about the instances that the request was sent to are included.',
		examples: [['A failed request', 'egretwing trace gateways.log 064064aad2cc6737']],
	});

	readonly file = Option.String({name: 'FILE'});
	readonly requestId = Option.String({name: 'REQUEST-ID'});

	async run(): Promise<number> {
		const lines = traceRequest(readLog(this.file), this.requestId);
		if (lines.length === 0) {
			throw new CommandFailure(`no line of ${this.file} has the request id ${this.requestId}`);
		}

		if (this.json) {
			this.printJson({lines});
		} else {
			for (const line of lines) {
				this.printLine(line);
			}
		}

		return 0;
	}
}
