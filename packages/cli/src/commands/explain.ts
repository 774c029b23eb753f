/** `egretwing explain DAEMON SERVICE [INSTANCE]` */

import {Command, Option} from 'clipanion';
import {requestDaemon, BaseCommand} from './base.ts';

type Explanation = {
	readonly lines: readonly string[];
};

/** Explains why instances are used, avoided or ejected, and why requests were refused. */
export class ExplainCommand extends BaseCommand {
	static override readonly paths = [['explain']];
	static override readonly usage = Command.Usage({
		description: 'explain why an entry uses, avoids or ejects the instances of a service',
		details: 'DAEMON is ADDRESS:PORT of the operators\' interface of an entry.',
		examples: [
			['All instances of a service', 'egretwing explain 127.0.0.1:9102 seatledger'],
			['One instance', 'egretwing explain 127.0.0.1:9102 seatledger seatledger-3'],
		],
	});

	readonly daemon = Option.String({name: 'DAEMON'});
	readonly service = Option.String({name: 'SERVICE'});
	readonly instance = Option.String({name: 'INSTANCE', required: false});

	async run(): Promise<number> {
		const query = new URLSearchParams({service: this.service, ...(this.instance !== undefined && {instance: this.instance})});
		const explanation = await requestDaemon(this.daemon, 'GET', `/v1/explain?${query.toString()}`) as Explanation;
		if (this.json) {
			this.printJson(explanation);
			return 0;
		}

		for (const line of explanation.lines) {
			this.printLine(line);
		}

		return 0;
	}
}
