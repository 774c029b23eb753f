/** Writes lines to a file descriptor without ever waiting for its reader; drops and counts lines beyond a bound. */

import {write} from 'node:fs';

/** Bytes that may wait for the reader: some seconds of lines at the rate bound of the callers of this module. */
const maxWaitingBytes = 524_288;

/** Time over which lines are gathered into one write. */
const gatherMs = 50;

/** Writes lines. */
export type BoundedWriter = {
	readonly writeLine: (line: string) => void;
	/** Calls back once everything that waits was handed to the descriptor. */
	readonly flush: (onDone: () => void) => void;
};

/** Creates a writer; `describeDropped` gives the line that tells how many were dropped. */
export const createBoundedWriter = (fileDescriptor: number, describeDropped: (count: number) => string): BoundedWriter => {
	let waiting = '';
	let dropped = 0;
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;
	let onEmpty: Array<() => void> = [];

	const writeNext = (): void => {
		timer = undefined;
		if (isWriting) {
			return;
		}

		if (waiting === '') {
			for (const callback of onEmpty.splice(0)) {
				callback();
			}

			return;
		}

		const text = dropped > 0 ? `${waiting}${describeDropped(dropped)}\n` : waiting;
		waiting = '';
		dropped = 0;
		isWriting = true;
		write(fileDescriptor, text, error => {
			isWriting = false;
			// The lines of a failed write count as dropped; the next write that succeeds tells how many.
			dropped += error === null ? 0 : text.split('\n').length - 1;
			writeNext();
		});
	};

	return {
		writeLine(line) {
			if (waiting.length + line.length > maxWaitingBytes) {
				dropped++;
				return;
			}

			waiting += `${line}\n`;
			timer ??= setTimeout(writeNext, gatherMs);
		},
		flush(onDone) {
			onEmpty = [...onEmpty, onDone];
			writeNext();
		},
	};
};
