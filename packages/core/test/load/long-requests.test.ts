/** Simulates entries that share a small service, on a manual clock, while uploads of several seconds hold some of its slots. */

import {expect} from 'chai';
import {createRandom} from '../../src/random.ts';
import {
	createServiceAdmission, type LoadRequest, type LoadSettings, type Permit, type ServiceAdmission,
} from '../../src/load/index.ts';

const entryCount = 3;
const durationMs = 9000;
const answerMs = 20;
const uploadMs = 6000;
const requestIntervalMs = 50;

const settings: LoadSettings = {
	slotsPerInstance: 4, connectionsPerInstance: 400, queueLength: 64, queueWaitMs: 500, workspaceShare: 1,
};

type Send = LoadRequest & {readonly atMs: number; readonly entry: number; readonly isUpload: boolean};

type Running = {readonly entry: number; readonly permit: Permit; readonly sentWholeAtMs: number; readonly endsAtMs: number};

type LoadPattern = {
	readonly title: string;
	/** Entry of each upload; they start at 1 s. */
	readonly uploadEntries: readonly number[];
	/** When one of the two instances leaves. */
	readonly leavesAtMs?: number;
};

const createSend = (atMs: number, entry: number, isUpload: boolean): Send => ({
	atMs, entry, isUpload, workspace: 'w', fingerprint: `${isUpload ? 'upload' : 'request'} ${atMs} at ${entry}`, deadlineMs: atMs + 10_000, attemptedIds: [],
});

/** Returns how the requests that were not run were refused. */
const simulate = ({uploadEntries, leavesAtMs = Infinity}: LoadPattern): readonly string[] => {
	const requests = Array.from({length: durationMs / requestIntervalMs}, (_, index) => createSend(index * requestIntervalMs, index % entryCount, false));
	const sends = [...requests, ...uploadEntries.map((entry, index) => createSend(1000 + index, entry, true))];
	const admissions: ReadonlyArray<ServiceAdmission<Send>> = Array.from({length: entryCount}, (_, index) =>
		createServiceAdmission<Send>({random: createRandom(index + 1), placementOf: () => ({type: 'homes'})}));
	const refused: string[] = [];
	let running: readonly Running[] = [];
	const start = ({entry, isUpload}: Send, permit: Permit, nowMs: number): void => {
		const sentWholeAtMs = nowMs + (isUpload ? uploadMs : 0);
		running = [...running, {
			entry, permit, sentWholeAtMs, endsAtMs: sentWholeAtMs + answerMs,
		}];
	};

	for (let nowMs = 0; nowMs < durationMs; nowMs++) {
		for (const {entry, permit, sentWholeAtMs} of running.filter(({endsAtMs}) => endsAtMs === nowMs)) {
			admissions[entry]!.release(permit, 'answered', nowMs, sentWholeAtMs);
		}

		running = running.filter(({endsAtMs}) => endsAtMs > nowMs);
		for (const admission of admissions) {
			admission.configure(settings, [{instanceId: 'first', weight: 1}, {instanceId: 'second', weight: nowMs < leavesAtMs ? 1 : 0}], entryCount);
			for (const dispatch of admission.dispatch(nowMs)) {
				if (dispatch.type === 'run') {
					start(dispatch.request, dispatch.permit, nowMs);
				} else {
					refused.push(`${dispatch.kind}: ${dispatch.request.fingerprint}`);
				}
			}
		}

		for (const send of sends.filter(({atMs}) => atMs === nowMs)) {
			const decision = admissions[send.entry]!.admit(send, nowMs);
			if (decision.type === 'run') {
				start(send, decision.permit, nowMs);
			} else if (decision.type === 'refuse') {
				refused.push(`${decision.kind}: ${send.fingerprint}`);
			}
		}
	}

	return refused;
};

describe('admission while uploads hold slots of a small service', () => {
	const patterns: readonly LoadPattern[] = [
		{title: 'one upload at each entry', uploadEntries: [0, 1, 2]},
		{title: 'one upload at each entry, and one of the instances leaves', uploadEntries: [0, 1, 2], leavesAtMs: 2000},
		{title: 'two uploads at one entry', uploadEntries: [0, 0]},
		{title: 'four uploads at one entry', uploadEntries: [0, 0, 0, 0]},
		{title: 'two uploads at each of two entries', uploadEntries: [0, 1, 0, 1]},
	];
	for (const pattern of patterns) {
		it(`refuses no request while the instances have free slots: ${pattern.title}`, () => {
			expect(simulate(pattern)).to.deep.equal([]);
		});
	}
});
