import {expect} from 'chai';
import {createManualClock, messageVersion, parseKey} from '@egretwing/core';
import {createKeyIssuer} from '../src/key-issue.ts';

describe('createKeyIssuer', () => {
	const message = {
		type: 'key-clock' as const, version: messageVersion, hostId: 'entry-a', incarnation: 5, clockMs: 1000,
	};

	it('issues keys that name the entry and the current time of its clock', () => {
		const clock = createManualClock(70_000);
		const issuer = createKeyIssuer(clock);
		issuer.onMessage(message);
		clock.advanceMs(250);
		const located = issuer.issue(30_000);
		expect(located).to.include({hostId: 'entry-a', lifetimeMs: 30_000});
		expect(parseKey(`${located?.prefix}x`).unwrap()).to.include({
			hostId: 'entry-a', incarnation: 5, issuedAtMs: 1250, lifetimeMs: 30_000,
		});
	});

	it('limits the lifetime to the maximum that the entry accepts', () => {
		const issuer = createKeyIssuer(createManualClock());
		issuer.onMessage(message);
		expect(issuer.issue(1e9)).to.include({lifetimeMs: 3_600_000});
	});

	it('issues no key before the entry has reported its clock or after it has disconnected', () => {
		const issuer = createKeyIssuer(createManualClock());
		expect(issuer.issue(1)).to.equal(undefined);
		issuer.onMessage(message);
		issuer.onClose();
		expect(issuer.issue(1)).to.equal(undefined);
	});
});
