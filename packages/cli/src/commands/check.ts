/** `egretwing check FILE...` */

import {Command, Option} from 'clipanion';
import {checkFile} from '../check.ts';
import {BaseCommand} from './base.ts';

/** Validates records and settings before they are deployed. */
export class CheckCommand extends BaseCommand {
	static override readonly paths = [['check']];
	static override readonly usage = Command.Usage({
		description: 'check files of records or settings',
		details: 'Prints the file, the field, what is wrong and what is expected. Exits with code 1 when anything is wrong.',
		examples: [
			['Check records before a roll-forward', 'egretwing check records/*.json'],
			['Check the settings of a daemon', 'egretwing check entry.json agent.json'],
		],
	});

	readonly files = Option.Rest({required: 1, name: 'FILE'});

	async run(): Promise<number> {
		const findings = this.files.flatMap(file => checkFile(file));
		if (this.json) {
			this.printJson(findings);
			return findings.length === 0 ? 0 : 1;
		}

		for (const {file, field, message} of findings) {
			this.printLine([file, field, message].filter(part => part !== '').join(': '));
		}

		if (findings.length === 0) {
			this.printLine(`${this.files.length} file(s) valid`);
		}

		return findings.length === 0 ? 0 : 1;
	}
}
