/**
 * Bounds the bytes that a process holds for its callers, over all requests: bodies until they are answered, and answers until
 * they are taken.
 *
 * Load pattern: many callers upload large bodies at the same time, each within the limit of one body, and finish none; callers
 * with small requests come beside them. Large requests may not take the last part of the budget, which is kept for small ones.
 * A request whose next bytes don't fit gives back all of its bytes, so that the others can go on.
 *
 * Garbage and other parts of the process may take more than was assumed. While its measured memory is short, large requests get
 * nothing; small ones are still taken, since their bytes hardly count and memory that was given back may stay resident for long.
 *
 * Requests cost objects on the heap beside their bytes, the more the more header fields they have. Callers that send many requests
 * ahead, or heads of very many short fields, fill the heap with few bytes. These objects have a bound of their own within the limit of
 * the heap, so that bodies can't take their room, nor they that of bodies.
 */

const bytesPerMegabyte = 1_048_576;

/**
 * Memory of a process without callers' bytes: code, heap, connections with the heads of their requests, and the state of the
 * fleet, in megabytes.
 */
const processMegabytes = 130;

/** Share of the other memory that may be held: bytes that were given back occupy memory until they are collected. */
const heldShare = 0.55;

/** Least budget, so that a process on a very small machine still serves small requests. */
const minLimitBytes = 4 * bytesPerMegabyte;

/** Share of the budget that only small requests may use. */
const smallShare = 0.2;

/** A request that holds at most this much is a small one, in bytes. */
const maxSmallBytes = 65_536;

/** Memory that each held piece takes beside its bytes: a buffer object and what it points to. */
const pieceOverheadBytes = 256;

/** Share of the limit of the heap that the objects of requests may take; the state of the fleet and garbage take the rest. */
const objectShare = 0.5;

/** Share of their bound above which the objects of requests are short: what is being parsed then still fits. */
const shortObjectShare = 0.35;

/** Objects of one request, and of one of its header fields: a name and a value in three tables. */
const requestObjectBytes = 8192;
const fieldObjectBytes = 300;

/** Share of the memory of a machine above which it is short. */
const shortShare = 0.85;

/** The bytes that one request holds. */
export type MemoryLease = {
	/** Takes `sizeBytes` for one more piece. Returns false, and takes nothing, when they don't fit or the lease was released. */
	readonly reserve: (sizeBytes: number) => boolean;
	/** Takes `sizeBytes` for objects on the heap. Returns false, and takes nothing, when they don't fit or the lease was released. */
	readonly reserveObjects: (sizeBytes: number) => boolean;
	/** Gives everything back; nothing can be reserved any more. */
	readonly release: () => void;
};

/** The bytes that all requests of a process hold. */
export type MemoryBudget = {
	readonly limitBytes: number;
	readonly heldBytes: () => number;
	/** Bound on the objects of requests, and the part of it that is held. */
	readonly objectLimitBytes: number;
	readonly objectBytes: () => number;
	/** Whether requests that can wait should not be parsed for now. */
	readonly areObjectsShort: () => boolean;
	/** Says whether the measured memory of the process is short. */
	readonly setShort: (isShort: boolean) => void;
	/** Whether a request of this size could be held now if no other one was there. */
	readonly fitsAlone: (sizeBytes: number) => boolean;
	readonly open: () => MemoryLease;
};

/** Bytes that a process on a machine with this much memory may hold. */
export const memoryLimitBytes = (memoryMegabytes: number): number =>
	Math.max(minLimitBytes, Math.floor((memoryMegabytes - processMegabytes) * heldShare * bytesPerMegabyte));

/** Bytes that the objects of all requests may take in a heap with this limit. */
export const objectLimitBytes = (heapLimitBytes: number): number => Math.floor(heapLimitBytes * objectShare);

/** Bytes that the objects of a request take on the heap, from the size of its head and the number of its header fields. */
export const objectBytesOf = (headBytes: number, fieldCount: number): number => requestObjectBytes + headBytes + (fieldCount * fieldObjectBytes);

/** Whether the memory of a process, as measured, comes near that of its machine. */
export const isMemoryShort = (residentBytes: number, memoryMegabytes: number): boolean =>
	residentBytes > memoryMegabytes * bytesPerMegabyte * shortShare;

/** Creates a budget of which nothing is held. */
export const createMemoryBudget = (limitBytes: number, maxObjectBytes = Number.POSITIVE_INFINITY): MemoryBudget => {
	const largeLimitBytes = Math.floor(limitBytes * (1 - smallShare));
	let heldBytes = 0;
	let objectBytes = 0;
	let isShort = false;

	return {
		limitBytes,
		heldBytes: () => heldBytes,
		objectLimitBytes: maxObjectBytes,
		objectBytes: () => objectBytes,
		areObjectsShort: () => objectBytes > maxObjectBytes * shortObjectShare,
		setShort(isNowShort) {
			isShort = isNowShort;
		},
		fitsAlone: sizeBytes => sizeBytes <= maxSmallBytes || (!isShort && sizeBytes <= largeLimitBytes),
		open() {
			let ownBytes = 0;
			let ownObjectBytes = 0;
			let isReleased = false;
			return {
				reserve(sizeBytes) {
					const pieceBytes = sizeBytes + pieceOverheadBytes;
					const isSmall = ownBytes + pieceBytes <= maxSmallBytes;
					const boundBytes = isSmall ? limitBytes : largeLimitBytes;
					if (isReleased || (isShort && !isSmall) || heldBytes + pieceBytes > boundBytes) {
						return false;
					}

					ownBytes += pieceBytes;
					heldBytes += pieceBytes;
					return true;
				},
				reserveObjects(sizeBytes) {
					if (isReleased || objectBytes + sizeBytes > maxObjectBytes) {
						return false;
					}

					ownObjectBytes += sizeBytes;
					objectBytes += sizeBytes;
					return true;
				},
				release() {
					isReleased = true;
					heldBytes -= ownBytes;
					objectBytes -= ownObjectBytes;
					ownBytes = 0;
					ownObjectBytes = 0;
				},
			};
		},
	};
};
