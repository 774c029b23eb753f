/** `egretwing status ADDRESS:PORT...` */

import {Command, Option} from 'clipanion';
import {requestDaemon, BaseCommand} from './base.ts';

type Status = Readonly<Record<string, unknown>>;

const formatValue = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

/** Shows the status that daemons report. */
export class StatusCommand extends BaseCommand {
	static override readonly paths = [['status']];
	static override readonly usage = Command.Usage({
		description: 'show the status of daemons',
		details: 'DAEMON is ADDRESS:PORT of the operators\' interface of an agent or an entry.',
		examples: [['Both daemons of a host', 'egretwing status 127.0.0.1:9101 127.0.0.1:9102']],
	});

	readonly daemons = Option.Rest({required: 1, name: 'DAEMON'});

	async run(): Promise<number> {
		const statuses: Status[] = [];
		for (const daemon of this.daemons) {
			statuses.push(await requestDaemon(daemon, 'GET', '/v1/status') as Status);
		}

		if (this.json) {
			this.printJson(statuses);
			return 0;
		}

		for (const status of statuses) {
			for (const [name, value] of Object.entries(status)) {
				this.printLine(`${name}: ${formatValue(value)}`);
			}

			this.printLine('');
		}

		return 0;
	}
}
