/** Logs JSON lines, by default to standard error. */

import process from 'node:process';
import {type ConsolaInstance, createConsola} from 'consola';

/** A logger; the first argument is the message, the second an object of fields. */
export type Logger = Pick<ConsolaInstance, 'debug' | 'error' | 'info' | 'warn'>;

const defaultLevel = 3;

const writeToStandardError = (line: string): void => {
	process.stderr.write(`${line}\n`);
};

/** Creates a logger that adds `program` and `hostId` to each line. */
export const createLogger = (program: string, hostId: string, level = defaultLevel, writeLine = writeToStandardError): Logger =>
	createConsola({
		level,
		reporters: [
			{
				log(entry) {
					const [message, fields] = entry.args as [unknown, unknown];
					const line = {
						time: entry.date.toISOString(),
						level: entry.type,
						program,
						hostId,
						message: String(message),
						...(typeof fields === 'object' && fields),
					};
					writeLine(JSON.stringify(line));
				},
			},
		],
	});
