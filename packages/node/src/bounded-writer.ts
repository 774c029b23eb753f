/** Writes lines to a file descriptor without waiting for its reader; drops and counts lines beyond a buffer limit. */

import {write} from 'node:fs';

/** Maximum size of the buffer: some seconds of lines at the rate limit of the callers of this module. */
const maxPendingBytes = 524_288;

/** Time for which lines are collected into one write. */
const flushDelayMs = 50;

/** A line writer with a bounded buffer. */
export type BoundedWriter = {
	readonly writeLine: (line: string) => void;
	/** Calls `onDone` after all buffered lines were written to the descriptor. */
	readonly flush: (onDone: () => void) => void;
};

/** Creates a writer; `describeDropped` returns the line that reports how many lines were dropped. */
export const createBoundedWriter = (fileDescriptor: number, describeDropped: (count: number) => string): BoundedWriter => {
	let pending = '';
	let droppedLines = 0;
	let isWriting = false;
	let timer: NodeJS.Timeout | undefined;
	let flushCallbacks: Array<() => void> = [];

	const writeNext = (): void => {
		timer = undefined;
		if (isWriting) {
			return;
		}

		if (pending === '') {
			for (const callback of flushCallbacks.splice(0)) {
				callback();
			}

			return;
		}

		const text = droppedLines > 0 ? `${pending}${describeDropped(droppedLines)}\n` : pending;
		pending = '';
		droppedLines = 0;
		isWriting = true;
		write(fileDescriptor, text, error => {
			isWriting = false;
			// The lines of a failed write count as dropped; the next successful write reports how many.
			droppedLines += error === null ? 0 : text.split('\n').length - 1;
			writeNext();
		});
	};

	return {
		writeLine(line) {
			if (pending.length + line.length > maxPendingBytes) {
				droppedLines++;
				return;
			}

			pending += `${line}\n`;
			timer ??= setTimeout(writeNext, flushDelayMs);
		},
		flush(onDone) {
			flushCallbacks = [...flushCallbacks, onDone];
			writeNext();
		},
	};
};
