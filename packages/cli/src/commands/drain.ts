/** `egretwing drain DAEMON` */

import {Command, Option} from 'clipanion';
import {askDaemon, BaseCommand} from './base.ts';

/** Asks an entry host to shut down gracefully. */
export class DrainCommand extends BaseCommand {
	static override readonly paths = [['drain']];
	static override readonly usage = Command.Usage({
		description: 'shut an entry host down without cutting a request',
		details: `
			DAEMON is ADDRESS:PORT of the operators' interface of the entry. The host leaves the locate answers first,
			accepts for as long as callers keep those answers, then lets the requests in flight end.
		`,
		examples: [['Drain a host before it is replaced', 'egretwing drain 127.0.0.1:9102']],
	});

	readonly daemon = Option.String({name: 'DAEMON'});

	async run(): Promise<number> {
		const answer = await askDaemon(this.daemon, 'POST', '/v1/drain');
		if (this.json) {
			this.printJson(answer);
		} else {
			this.printLine(`${this.daemon} drains; follow it with: egretwing status ${this.daemon}`);
		}

		return 0;
	}
}
