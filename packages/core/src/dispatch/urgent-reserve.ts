/**
 * Keeps slots free for urgent short requests at a service that also runs long ones of lower priority.
 *
 * Answers long unhurried work that fills the slots of a service: a short urgent request that arrives then would wait for
 * the end of a long one. A long request is held back while the free slots are those that the urgent ones, at the rate at
 * which they arrive, are about to need. The held request has the time; the rest of the slots is its own.
 */

import type {Placement} from './types.ts';

/** Time constant of the arrival rate. */
const rateTimeMs = 3000;

/** Weight of a new answer in the moving average of the service time. */
const serviceTimeWeight = 0.05;

/** How many times longer than the urgent ones a request must take to be held back: shorter ones end soon enough by themselves. */
const minLengthRatio = 2;

/** Largest part of the usable slots that is kept free; none of fewer than three. */
const maxReservedShare = 1 / 3;

/** Slots of a service as one gateway sees them. */
export type SlotUse = {
	/** Slots that all gateways together may use. */
	readonly usable: number;
	/** Requests of all gateways in flight. */
	readonly inFlight: number;
	readonly ownInFlight: number;
};

/** Reserve of the slots of one service at one gateway. */
export type UrgentReserve = {
	readonly recordArrival: (rank: number, nowMs: number) => void;
	readonly recordStart: (placement: Placement, rank: number) => void;
	/** Records the end of an attempt; `isGood` when its time tells the service time. */
	readonly recordEnd: (placement: Placement, isGood: boolean, nowMs: number) => void;
	/** True when a request that takes `serviceMs` has to leave the free slots to those of higher priority. */
	readonly holdsBack: (rank: number, serviceMs: number, use: () => SlotUse, nowMs: number) => boolean;
	/** True while much longer requests of lower priority are in flight, so that one that takes `serviceMs` goes before those that wait. */
	readonly isUrgent: (rank: number, serviceMs: number) => boolean;
	/** Requests held back since the last call. */
	readonly takeHeld: () => number;
};

type RankLoad = {
	/** Arrivals, each fading with `rateTimeMs`. */
	arrivals: number;
	updatedAtMs: number;
	serviceMs: number | undefined;
	inFlight: number;
};

/** Creates a reserve for a service without requests. */
export const createUrgentReserve = (): UrgentReserve => {
	const loads = new Map<number, RankLoad>();
	const rankOf = new Map<Placement, number>();
	let held = 0;

	const loadOf = (rank: number, nowMs: number): RankLoad => {
		const load = loads.get(rank) ?? {
			arrivals: 0, updatedAtMs: nowMs, serviceMs: undefined, inFlight: 0,
		};
		loads.set(rank, load);
		return load;
	};

	const arrivalsAt = ({arrivals, updatedAtMs}: RankLoad, nowMs: number): number => arrivals * Math.exp((updatedAtMs - nowMs) / rateTimeMs);

	/** Slots that more urgent and much shorter requests of this gateway are about to need, beyond those that they hold. */
	const ownNeed = (rank: number, serviceMs: number, nowMs: number): number => {
		let slots = 0;
		let inFlight = 0;
		for (const [otherRank, load] of loads) {
			if (otherRank < rank && load.serviceMs !== undefined && load.serviceMs * minLengthRatio <= serviceMs) {
				slots += arrivalsAt(load, nowMs) / rateTimeMs * load.serviceMs;
				inFlight += load.inFlight;
			}
		}

		// Arrivals at random: the number in progress varies by the root of its mean.
		return slots === 0 ? 0 : Math.max(0, slots + Math.sqrt(slots) - inFlight);
	};

	return {
		recordArrival(rank, nowMs) {
			const load = loadOf(rank, nowMs);
			load.arrivals = arrivalsAt(load, nowMs) + 1;
			load.updatedAtMs = nowMs;
		},
		recordStart(placement, rank) {
			rankOf.set(placement, rank);
			loadOf(rank, placement.startedAtMs).inFlight++;
		},
		recordEnd(placement, isGood, nowMs) {
			const rank = rankOf.get(placement);
			if (rank === undefined || !rankOf.delete(placement)) {
				return;
			}

			const load = loadOf(rank, nowMs);
			load.inFlight--;
			if (isGood) {
				const tookMs = nowMs - placement.startedAtMs;
				load.serviceMs = load.serviceMs === undefined ? tookMs : load.serviceMs + (serviceTimeWeight * (tookMs - load.serviceMs));
			}
		},
		holdsBack(rank, serviceMs, use, nowMs) {
			const need = loads.size < 2 ? 0 : ownNeed(rank, serviceMs, nowMs);
			if (need === 0) {
				return false;
			}

			// The other gateways that use the service need as much for each of their requests.
			const {usable, inFlight, ownInFlight} = use();
			const reserved = Math.min(need * Math.max(1, inFlight / Math.max(1, ownInFlight)), Math.floor(usable * maxReservedShare));
			const free = usable - inFlight;
			const isHeld = free > 0 && free - 1 < reserved;
			held += Number(isHeld);
			return isHeld;
		},
		isUrgent(rank, serviceMs) {
			for (const [otherRank, load] of loads) {
				if (otherRank > rank && load.inFlight > 0 && load.serviceMs !== undefined && load.serviceMs >= serviceMs * minLengthRatio) {
					return true;
				}
			}

			return false;
		},
		takeHeld() {
			const taken = held;
			held = 0;
			return taken;
		},
	};
};
