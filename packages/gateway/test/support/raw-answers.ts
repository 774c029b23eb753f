/** Reads the raw answers on one connection. */

import type {Buffer} from 'node:buffer';

/** An answer as a caller reads it. */
export type RawAnswer = {
	readonly statusCode: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	/** Whether the answer announces that the connection is closed after it. */
	readonly closes: boolean;
};

type Part = {readonly body: string; readonly endIndex: number};

const headEnd = '\r\n\r\n';
const lineEnd = '\r\n';

const readChunks = (text: string, startIndex: number): Part | undefined => {
	let body = '';
	let index = startIndex;
	for (;;) {
		const sizeEnd = text.indexOf(lineEnd, index);
		if (sizeEnd === -1) {
			return undefined;
		}

		const size = Number.parseInt(text.slice(index, sizeEnd), 16);
		const start = sizeEnd + lineEnd.length;
		const endIndex = start + size + lineEnd.length;
		if (endIndex > text.length) {
			return undefined;
		}

		if (size === 0) {
			return {body, endIndex};
		}

		body += text.slice(start, start + size);
		index = endIndex;
	}
};

const readSized = (text: string, startIndex: number, sizeBytes: number): Part | undefined => {
	const endIndex = startIndex + sizeBytes;
	return endIndex > text.length ? undefined : {body: text.slice(startIndex, endIndex), endIndex};
};

/** Splits what was received into its complete answers; informational ones are left out. */
export const parseAnswers = (received: Buffer): readonly RawAnswer[] => {
	const text = received.toString('latin1');
	const answers: RawAnswer[] = [];
	let index = 0;
	for (;;) {
		const end = text.indexOf(headEnd, index);
		if (end === -1) {
			return answers;
		}

		const [statusLine = '', ...lines] = text.slice(index, end).split(lineEnd);
		const statusCode = Number(statusLine.split(' ')[1]);
		index = end + headEnd.length;
		if (statusCode < 200) {
			continue;
		}

		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		const undelimited: Part = {body: text.slice(index), endIndex: text.length};
		const delimited = headers['content-length'] === undefined ? undelimited : readSized(text, index, Number(headers['content-length']));
		const part = headers['transfer-encoding'] === undefined ? delimited : readChunks(text, index);
		if (part === undefined) {
			return answers;
		}

		answers.push({
			statusCode, headers, body: part.body, closes: headers.connection === 'close',
		});
		index = part.endIndex;
	}
};
