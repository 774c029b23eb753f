/**
 * Hands the bytes of a connection to its parser in slices, and stops between two of them while nothing more should be read.
 *
 * Node.js parses all that one read returned, up to 64 KB, without a way to stop: more than a thousand requests, or ten thousand
 * pieces of a body. Small reads, and bodies of a known length, go through at once. Of everything else, the process parses a few
 * slices in a turn of the event loop, one connection after the other, so that ordinary requests get their turn in between.
 */

import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import {performance} from 'node:perf_hooks';
import type {MemoryBudget, MemoryLease} from '@egretwing/core';
import type {SliceQueue} from './slice-queue.ts';

/** Largest slice outside of a body, and bounds on one in a body of unknown length, in bytes. */
const headSliceBytes = 4096;
const minBodySliceBytes = 1024;
const maxBodySliceBytes = 16_384;

/** A body of unknown length is parsed in smaller slices after one that took longer, and in larger ones after one that did not. */
const sliceMs = 0.5;

/** A connection whose bytes are parsed in slices. */
export type SlicedReading = {
	/** To be called for each request when its head is complete. */
	readonly begin: (incoming: http.IncomingMessage) => void;
	/** Reads on, or stops, after `isHeld` may have changed. */
	readonly update: () => void;
	readonly isPaused: () => boolean;
	/** Ignores all bytes from now on. */
	readonly stop: () => void;
};

/** A socket with the internal property of Node.js that says that too much of its answers is unread. */
type PausableSocket = net.Socket & {readonly _paused?: boolean};

/** What decides on the reading of a connection. */
export type SlicedReadingOptions = {
	/** Whether nothing more should be parsed for now. */
	readonly isHeld: () => boolean;
	/** Whether all bytes have to wait for their turn. */
	readonly isShort: () => boolean;
	readonly queue: SliceQueue;
	/** Account of the bytes that wait to be parsed; a connection whose bytes don't fit is closed. */
	readonly memory: MemoryBudget | undefined;
	/** Most bytes that may wait while nothing is parsed; no limit where it is absent. */
	readonly maxRestBytes?: number;
	readonly onRefused: () => void;
};

/** Takes over the reading of a connection from the HTTP server that has just accepted it. */
export const readInSlices = (socket: PausableSocket, {
	isHeld: isHeldByOwner, isShort, queue, memory, maxRestBytes = Number.POSITIVE_INFINITY, onRefused,
}: SlicedReadingOptions): SlicedReading => {
	const parsers = socket.listeners('data');
	let rest: readonly Buffer[] = [];
	let lease: MemoryLease | undefined;
	let isPaused = false;
	/** Bytes handed to the parser, and the position up to which a body of known length reaches at most. */
	let parsedBytes = 0;
	let bodyEndBytes = 0;
	let sliceBytes = 0;
	let last: http.IncomingMessage | undefined;
	let isStopped = false;
	let bodySliceBytes = headSliceBytes;

	// A parser that Node.js has paused would take more bytes for an error.
	const isHeld = (): boolean => !isStopped && (socket._paused === true || isHeldByOwner());

	const parse = (bytes: Buffer): void => {
		sliceBytes = bytes.length;
		for (const parser of parsers) {
			Reflect.apply(parser, socket, [bytes]);
		}

		parsedBytes += sliceBytes;
	};

	const drop = (): void => {
		rest = [];
		lease?.release();
		lease = undefined;
	};

	const nextSliceBytes = (): number => Math.max(last === undefined || last.complete ? headSliceBytes : bodySliceBytes, bodyEndBytes - parsedBytes);

	const takeSlice = (): Buffer => {
		const [first, ...others] = rest as readonly [Buffer, ...Buffer[]];
		const sizeBytes = nextSliceBytes();
		rest = first.length <= sizeBytes ? others : [first.subarray(sizeBytes), ...others];
		return first.subarray(0, sizeBytes);
	};

	const isInKnownBody = (): boolean => rest.length > 0 && bodyEndBytes > parsedBytes && !isHeld() && !socket.destroyed;

	const pause = (): void => {
		if (!isPaused) {
			isPaused = true;
			socket.pause();
		}
	};

	/** Keeps what is not parsed yet within the account. */
	const hold = (): void => {
		pause();
		if (rest.length === 0 || lease !== undefined) {
			return;
		}

		const restBytes = rest.reduce((sumBytes, {length}) => sumBytes + length, 0);
		lease = memory?.open();
		if ((isHeld() && restBytes > maxRestBytes) || lease?.reserve(restBytes) === false) {
			drop();
			onRefused();
			socket.destroy();
		}
	};

	const resumeIfIdle = (): void => {
		if (rest.length > 0) {
			return;
		}

		lease?.release();
		lease = undefined;
		if (isPaused && !isHeld()) {
			isPaused = false;
			socket.resume();
		}
	};

	const pump = (): number => {
		if (socket.destroyed) {
			drop();
			return 0;
		}

		if (isHeld() || rest.length === 0) {
			return 0;
		}

		const slice = takeSlice();
		const startedAtMs = performance.now();
		parse(slice);
		bodySliceBytes = performance.now() - startedAtMs > sliceMs ? Math.max(minBodySliceBytes, bodySliceBytes / 2) : Math.min(maxBodySliceBytes, bodySliceBytes * 2);
		if (rest.length > 0 && !isHeld()) {
			queue.add(pump);
		}

		resumeIfIdle();
		return slice.length;
	};

	const update = (): void => {
		if (isHeld()) {
			pause();
			return;
		}

		if (rest.length > 0) {
			queue.add(pump);
			return;
		}

		resumeIfIdle();
	};

	for (const parser of parsers) {
		socket.off('data', parser as (bytes: Buffer) => void);
	}

	socket.on('data', (bytes: Buffer) => {
		if (isStopped) {
			return;
		}

		if (rest.length > 0 || isShort()) {
			rest = [...rest, bytes];
		} else {
			rest = [bytes];
			parse(takeSlice());
			// Bodies of known length go through at once.
			while (isInKnownBody()) {
				parse(takeSlice());
			}
		}

		if (rest.length > 0 && !socket.destroyed) {
			hold();
			queue.add(pump);
		} else if (isHeld()) {
			hold();
		}
	});
	// Node.js resumes the connection when it reads or discards the body of a request.
	socket.on('resume', () => {
		if (isPaused) {
			socket.pause();
			update();
		}
	});
	socket.once('close', drop);
	return {
		begin(incoming) {
			last = incoming;
			const lengthBytes = Number(incoming.headers['content-length'] ?? 0);
			bodyEndBytes = lengthBytes > 0 ? parsedBytes + sliceBytes + lengthBytes : 0;
		},
		update,
		isPaused: () => isPaused,
		stop() {
			isStopped = true;
			drop();
			update();
		},
	};
};
