import {expect} from 'chai';
import {traceRequest} from '../src/trace.ts';

const line = (second: number, message: string, fields: Readonly<Record<string, unknown>>): string =>
	JSON.stringify({
		time: `2026-01-17T17:43:${String(second).padStart(2, '0')}.000Z`, level: 'info', program: 'egretwing-gateway', hostId: 'g-1', message, ...fields,
	});

const log = [
	line(22, 'attempt failed', {requestId: 'r1', instanceId: 'i-1', result: 'broken'}),
	line(21, 'sent', {requestId: 'r1', instanceId: 'i-1', instance: {risk: 0.25}}),
	line(23, 'instance avoided', {instanceId: 'i-1', cause: 'broken'}),
	line(23, 'instance avoided', {instanceId: 'i-2', cause: 'broken'}),
	line(40, 'instance avoided', {instanceId: 'i-1', cause: 'stalled'}),
	line(22, 'sent', {requestId: 'r2', instanceId: 'i-1'}),
	'not a JSON line',
	`  12.5 front-a-1 ${line(22, 'refused', {requestId: 'r1', kind: 'outcome-unknown'})}`,
].join('\n');

describe('traceRequest', () => {
	it('returns the lines of the request in order of time, with those about its instance from the seconds around it', () => {
		expect(traceRequest(log, 'r1').map(text => text.split(' ').slice(2).join(' '))).to.deep.equal([
			'sent instanceId=i-1 instance={"risk":0.25}',
			'attempt failed instanceId=i-1 result=broken',
			'refused kind=outcome-unknown',
			'instance avoided instanceId=i-1 cause=broken',
		]);
	});

	it('returns nothing for a request id that no line has', () => {
		expect(traceRequest(log, 'r9')).to.deep.equal([]);
	});
});
