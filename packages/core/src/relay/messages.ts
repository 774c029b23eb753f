/** Builds the messages that carry configuration records between agents. */

import type {ConfigMessage} from './types.ts';

/** Maximum size of the record texts in a message, counted as string length, unless a single record is larger. */
export const maxTextBytes = 65_536;

/** Splits `texts` into lists of at most `maxTextBytes` each; returns one empty list when there are none. */
const splitTexts = (texts: readonly string[]): ReadonlyArray<readonly string[]> => {
	const chunks: string[][] = [[]];
	let length = 0;
	for (const text of texts) {
		if (length > 0 && length + text.length > maxTextBytes) {
			chunks.push([]);
			length = 0;
		}

		chunks.at(-1)!.push(text);
		length += text.length;
	}

	return chunks;
};

/** Builds the messages that carry `texts`; the last one asks for the buckets `wanted`. */
export const createRecordMessages = (
	texts: readonly string[],
	wanted: readonly number[],
	ready: boolean,
): readonly ConfigMessage[] => {
	const chunks = splitTexts(texts);
	return chunks.map((chunk, index) => {
		const isLast = index === chunks.length - 1;
		return {
			type: 'config-records', texts: chunk, wanted: isLast ? wanted : [], last: isLast, ready,
		};
	});
};
