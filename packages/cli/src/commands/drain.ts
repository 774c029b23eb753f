/** `egretwing drain DAEMON` */

import {Command, Option} from 'clipanion';
import {requestDaemon, BaseCommand} from './base.ts';

/** Starts the graceful shutdown of an entry host. */
export class DrainCommand extends BaseCommand {
	static override readonly paths = [['drain']];
	static override readonly usage = Command.Usage({
		description: 'shut an entry host down gracefully',
		details: `
			DAEMON is ADDRESS:PORT of the operators' interface of the entry. The host is first removed from locate answers,
			accepts requests for as long as callers cache those answers, then waits for the requests in flight to end.
		`,
		examples: [['Drain a host before it is replaced', 'egretwing drain 127.0.0.1:9102']],
	});

	readonly daemon = Option.String({name: 'DAEMON'});

	async run(): Promise<number> {
		const answer = await requestDaemon(this.daemon, 'POST', '/v1/drain');
		if (this.json) {
			this.printJson(answer);
		} else {
			this.printLine(`${this.daemon} is draining; to follow it: egretwing status ${this.daemon}`);
		}

		return 0;
	}
}
