import {expect} from 'chai';
import fc from 'fast-check';
import {
	createAtMostOnceGate, formatKeyPrefix, parseKey, type FleetMember, type AtMostOnceDecision, type AtMostOnceOptions, type AtMostOnceRequest,
} from '../src/index.ts';
import {createNaiveAtMostOnceGate} from '../src/naive/once.ts';

const seed = 4_010_102;
const self = {hostId: 'entry.1', incarnation: 7, startedAtMs: 0};
const lifetimeMs = 60_000;

const member = (hostId: string, incarnation: number): FleetMember => ({
	host: {
		role: 'entry', hostId, address: '127.0.0.1', region: 'r', dataCentre: 'd', state: 'live', entryPort: 1, locatePort: 2, peerPort: 3,
	},
	incarnation,
	usable: true,
});

const createGate = (options?: AtMostOnceOptions, nowMs = 2_000_000) => {
	const gate = createAtMostOnceGate(self, options);
	gate.updateMembers([member(self.hostId, self.incarnation)], nowMs - 1000);
	for (const beforeMs of [2000, 1500, 1000, 500, 0]) {
		gate.tick(nowMs - beforeMs);
	}

	return gate;
};

const createRequest = (text: string, change: Partial<AtMostOnceRequest> = {}): AtMostOnceRequest => ({
	key: parseKey(text).unwrap(),
	workspace: 'chorale',
	fingerprint: 'POST /seats',
	mark: 'unmarked',
	isForwarded: false,
	deadlineMs: Number.POSITIVE_INFINITY,
	lifetimeMs,
	...change,
});

const describeDecision = (decision: AtMostOnceDecision): string => decision.type === 'refuse' ? `${decision.refusal.kind} ${decision.refusal.ran}` : decision.type;

describe('parseKey', () => {
	const prefix = formatKeyPrefix({
		hostId: 'entry.1', incarnation: 7, issuedAtMs: 1234.9, lifetimeMs,
	});

	it('parses the output of formatKeyPrefix with the part of the caller', () => {
		expect(parseKey(`${prefix}a.b`).unwrap()).to.deep.include({
			type: 'issued', hostId: 'entry.1', incarnation: 7, issuedAtMs: 1234, lifetimeMs,
		});
	});

	const cases = [
		{title: 'any other text', text: '0b9c-22', expected: 'plain'},
		{title: 'a prefix without the part of the caller', text: prefix, expected: 'key-malformed'},
		{title: 'a number that is not in base 36', text: 'eg1.h.!.1.1.x', expected: 'key-malformed'},
		{title: 'a non-canonical number', text: 'eg1.h.07.1.1.x', expected: 'key-malformed'},
		{title: 'a non-canonical host id', text: 'eg1.%68.7.1.1.x', expected: 'key-malformed'},
		{title: 'an undecodable host id', text: 'eg1.%zz.7.1.1.x', expected: 'key-malformed'},
		{title: 'too few parts', text: 'eg1.h.7', expected: 'key-malformed'},
		{title: 'an empty text', text: '', expected: 'key-malformed'},
		{title: 'a text with a space', text: 'a b', expected: 'key-malformed'},
		{title: 'a text that is too long', text: 'a'.repeat(256), expected: 'key-malformed'},
	];
	for (const {title, text, expected} of cases) {
		it(`parses ${title} as ${expected}`, () => {
			const parsed = parseKey(text);
			expect(parsed.isOk() ? parsed.value.type : parsed.error).to.equal(expected);
		});
	}
});

describe('createAtMostOnceGate', () => {
	const nowMs = 2_000_000;
	const issuedKey = (change: Partial<Parameters<typeof formatKeyPrefix>[0]> = {}): string => `${formatKeyPrefix({
		...self, issuedAtMs: nowMs, lifetimeMs, ...change,
	})}x`;
	const cases: ReadonlyArray<{readonly title: string; readonly key: string; readonly change?: Partial<AtMostOnceRequest>; readonly expected: string}> = [
		{title: 'a key issued by the same process', key: issuedKey(), expected: 'run'},
		{title: 'an issued key past its lifetime', key: issuedKey({issuedAtMs: nowMs - lifetimeMs}), expected: 'key-expired unknown'},
		{
			title: 'a first send past the lifetime of its key', key: issuedKey({issuedAtMs: nowMs - lifetimeMs}), change: {mark: 'first'}, expected: 'key-expired not-run',
		},
		{title: 'a key of an earlier process of this host', key: issuedKey({incarnation: 6}), expected: 'key-owner-gone unknown'},
		{title: 'a key of a later process of this host', key: issuedKey({incarnation: 8}), expected: 'key-owner-unreachable unknown'},
		{title: 'a key with a lifetime above the limit', key: issuedKey({lifetimeMs: 3_600_001}), expected: 'key-malformed not-run'},
		{title: 'a key with an issue time far in the future', key: issuedKey({issuedAtMs: nowMs + 70_000}), expected: 'key-malformed not-run'},
		{title: 'a key of another entry', key: issuedKey({hostId: 'peer', incarnation: 3}), expected: 'forward'},
		{
			title: 'a forwarded key of another entry', key: issuedKey({hostId: 'peer', incarnation: 3}), change: {isForwarded: true}, expected: 'key-owner-unreachable unknown',
		},
		{title: 'a key of an earlier process of another entry', key: issuedKey({hostId: 'peer', incarnation: 2}), expected: 'key-owner-gone unknown'},
		{title: 'a key of an unknown entry', key: issuedKey({hostId: 'nobody'}), expected: 'key-owner-unreachable unknown'},
		{title: 'a plain key that this entry owns', key: 'p-1', expected: 'run'},
		{title: 'a plain key that another entry owns', key: 'p-0', expected: 'forward'},
		{
			title: 'a resend of a plain key that is not stored', key: 'p-1', change: {mark: 'resend'}, expected: 'key-owner-unreachable unknown',
		},
	];
	for (const {title, key, change, expected} of cases) {
		it(`answers ${title} with ${expected}`, () => {
			const gate = createGate();
			gate.updateMembers([member(self.hostId, self.incarnation), member('peer', 3)], nowMs);
			expect(describeDecision(gate.decide(createRequest(key, change), nowMs))).to.equal(expected);
		});
	}

	it('does not reassign a plain key to the next entry while an owner that left may have run it', () => {
		const gate = createGate();
		gate.updateMembers([member(self.hostId, self.incarnation), member('peer', 3)], nowMs);
		gate.updateMembers([member(self.hostId, self.incarnation)], nowMs);
		expect(describeDecision(gate.decide(createRequest('p-0'), nowMs))).to.equal('key-owner-unreachable unknown');
		const forgottenMs = nowMs + 3_660_001;
		for (let tickedAtMs = nowMs; tickedAtMs < forgottenMs; tickedAtMs += 1000) {
			gate.tick(tickedAtMs);
		}

		expect(gate.decide(createRequest('p-0'), forgottenMs).type).to.equal('run');
	});

	it('refuses a key that was used for another request', () => {
		const gate = createGate();
		gate.decide(createRequest(issuedKey()), nowMs);
		const other = createRequest(issuedKey(), {fingerprint: 'POST /payments'});
		expect(describeDecision(gate.decide(other, nowMs))).to.equal('key-mismatch not-run');
	});

	it('does not let one workspace see the keys or use up the capacity of another', () => {
		const gate = createGate({maxKeys: 4, workspaceShare: 0.5});
		const kinds = ['a', 'b', 'c'].map(text => gate.decide(createRequest(`${issuedKey()}${text}`), nowMs).type);
		expect(kinds).to.deep.equal(['run', 'run', 'refuse']);
		expect(gate.decide(createRequest(`${issuedKey()}a`, {workspace: 'dhaar'}), nowMs).type).to.equal('run');
	});

	it('stays within maxBytes, stores no answer that does not fit, and frees the space when keys expire', () => {
		const gate = createGate({maxBytes: 20_000, maxAnswerBytes: 4000, workspaceShare: 1});
		const kinds = new Map<string, number>();
		for (let index = 0; index < 100; index++) {
			const request = createRequest(`${issuedKey()}${index}`);
			const decision = gate.decide(request, nowMs);
			if (decision.type === 'run') {
				gate.confirmWrite(decision.ticket, nowMs);
				gate.settle(decision.ticket, {type: 'ran', answer: {statusCode: 200, headers: ['a', 'b'], body: new Uint8Array(index * 1000)}});
			}

			expect(gate.usage().bytes).to.be.at.most(20_000);
			const again = describeDecision(gate.decide(request, nowMs));
			kinds.set(again, (kinds.get(again) ?? 0) + 1);
		}

		expect([...kinds.keys()]).to.have.members(['replay', 'answer-not-kept ran', 'key-memory-full not-run']);
		gate.decide(createRequest('p-1'), nowMs + lifetimeMs + 2000);
		expect(gate.usage().keys).to.be.at.most(1);
	});

	it('keeps a key in flight past its lifetime', () => {
		const gate = createGate();
		gate.decide(createRequest(issuedKey()), nowMs);
		for (const laterMs of [2000, 4000, 90_000]) {
			expect(gate.decide(createRequest(issuedKey()), nowMs + lifetimeMs + laterMs).type).to.equal('wait');
		}
	});
});

describe('createAtMostOnceGate compared with the naive gate', () => {
	const stepArbitrary = fc.oneof(
		fc.record({op: fc.constant('send' as const), key: fc.nat(4), fingerprint: fc.constantFrom('POST /seats', 'POST /seats', 'POST /payments')}),
		fc.record({op: fc.constant('settle' as const), key: fc.nat(4), outcome: fc.constantFrom('ran' as const, 'unknown' as const, 'not-run' as const)}),
		fc.record({op: fc.constant('advance' as const), durationMs: fc.constantFrom(1, 900, 30_000)}),
	);

	it('decides as the naive gate does until a key expires, and never runs it after that', () => {
		fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 60, size: 'max'}), steps => {
			let nowMs = 2_000_000;
			const expiresAtMs = nowMs + lifetimeMs;
			const {keyPrefix} = createGate().issue(lifetimeMs, nowMs);
			const gate = createGate();
			const naiveGate = createNaiveAtMostOnceGate();
			const open = new Map<number, ReadonlyArray<AtMostOnceDecision & {type: 'run'}>>();
			for (const step of steps) {
				if (step.op === 'advance') {
					nowMs += step.durationMs;
					continue;
				}

				const request = createRequest(`${keyPrefix}${step.key}`);
				if (step.op === 'send') {
					const asked = {...request, fingerprint: step.fingerprint};
					const decision = gate.decide(asked, nowMs);
					const reference = naiveGate.decide(asked, nowMs);
					const isForgotten = nowMs >= expiresAtMs && describeDecision(decision) === 'key-expired unknown';
					if (!isForgotten) {
						expect(describeDecision(decision)).to.equal(describeDecision(reference));
					}

					if (decision.type === 'run' && reference.type === 'run') {
						open.set(step.key, [decision, reference]);
					}

					continue;
				}

				const [own, reference] = open.get(step.key) ?? [];
				if (own && reference) {
					open.delete(step.key);
					const isWritten = gate.confirmWrite(own.ticket, nowMs).type === 'write';
					expect(isWritten).to.equal(nowMs < expiresAtMs);
					const type = isWritten ? step.outcome : 'not-run';
					const outcome = type === 'ran' ? {type, answer: {statusCode: 200, headers: [], body: new Uint8Array([step.key])}} : {type};
					gate.settle(own.ticket, outcome);
					naiveGate.settle(reference.ticket, outcome);
				}
			}
		}), {seed, numRuns: 2000});
	});
});
