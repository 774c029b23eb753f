/** Uploads and downloads at a constant rate with a check of the digest. */

import {createHash} from 'node:crypto';
import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {recordingChunkBytes, recordingChunks, recordingDigest} from '@egretwing/standin';
import type {Callers} from './callers.ts';
import type {Transfer} from './observations.ts';

const seed = 1;
const transferTimeoutMs = 60_000;

/** One upload or download. */
export type TransferOptions = {
	readonly direction: 'upload' | 'download';
	readonly service: string;
	readonly path: string;
	readonly totalBytes: number;
	readonly durationMs: number;
};

const paceMs = ({totalBytes, durationMs}: TransferOptions): number => durationMs / Math.ceil(totalBytes / recordingChunkBytes);

const pacedChunks = async function * (options: TransferOptions): AsyncGenerator<Uint8Array> {
	const startMs = Date.now();
	let number = 0;
	for (const chunk of recordingChunks(options.totalBytes, seed)) {
		yield chunk;
		number++;
		await delay(Math.max(0, startMs + (number * paceMs(options)) - Date.now()));
	}
};

const upload = async (callers: Callers, url: string, options: TransferOptions): Promise<string> => {
	const digest = recordingDigest(options.totalBytes, seed);
	const {statusCode, headers, body} = await request(url, {
		dispatcher: callers.dispatcher,
		method: 'PUT',
		headers: {'x-sha256': digest, 'content-length': String(options.totalBytes)},
		body: Readable.from(pacedChunks(options)),
		signal: AbortSignal.timeout(transferTimeoutMs),
	});
	const text = await body.text();
	return statusCode === 200 && text.includes(digest) ? '' : `status ${statusCode} ${String(headers['egretwing-kind'])}`;
};

const download = async (callers: Callers, url: string, options: TransferOptions): Promise<string> => {
	const {statusCode, headers, body} = await request(`${url}?bytes=${options.totalBytes}&seed=${seed}&paceMs=${paceMs(options)}`, {
		dispatcher: callers.dispatcher, signal: AbortSignal.timeout(transferTimeoutMs),
	});
	const hash = createHash('sha256');
	for await (const chunk of body) {
		hash.update(chunk as Uint8Array);
	}

	if (statusCode !== 200) {
		return `status ${statusCode} ${String(headers['egretwing-kind'])}`;
	}

	return hash.digest('hex') === recordingDigest(options.totalBytes, seed) ? '' : 'digest differs';
};

/** Runs one upload or download, without retries, through the entry host at `turn`. */
export const transfer = async (callers: Callers, options: TransferOptions, turn: number): Promise<Transfer> => {
	const {entries} = await callers.locator.locate(options.service);
	const entry = entries[turn % Math.max(1, entries.length)];
	const title = `${options.direction} of ${options.totalBytes} bytes`;
	if (!entry) {
		return {title, hostId: '', failure: 'no entry host located'};
	}

	const url = `http://${entry.address}:${entry.port}${options.path}`;
	try {
		const failure = await (options.direction === 'upload' ? upload : download)(callers, url, options);
		return {title, hostId: entry.hostId, failure};
	} catch (error) {
		return {title, hostId: entry.hostId, failure: String(error)};
	}
};
