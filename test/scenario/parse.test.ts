import {readdirSync, readFileSync} from 'node:fs';
import {expect} from 'chai';
import {parseScenario} from './language/parse.ts';

const topology = `fleet of 3 entry hosts in 3 data centres
service seatledger with 4 instances of 4 slots
route /seats to seatledger at-most-once
`;
const folder = new URL('../../scenarios/', import.meta.url);

describe('parseScenario', () => {
	const actions = [
		{
			line: 'at 2 s freeze entry host 1 for 3 s', steps: [
				{
					atMs: 2000, action: {
						type: 'signal', signal: 'SIGSTOP', host: 1, part: 'both',
					},
				},
				{
					atMs: 5000, action: {
						type: 'signal', signal: 'SIGCONT', host: 1, part: 'both',
					},
				},
			],
		},
		{
			line: 'at 500 ms kill the entry of entry host 2', steps: [{
				atMs: 500, action: {
					type: 'signal', signal: 'SIGKILL', host: 2, part: 'entry',
				},
			}],
		},
		{
			line: 'at 1.5 s stall seatledger-1 and seatledger-2', steps: [{
				atMs: 1500, action: {
					type: 'fault', targets: ['seatledger-1', 'seatledger-2'], fault: {type: 'stall', share: 1}, cutFrom: [],
				},
			}],
		},
		{
			line: 'at 1 s cut answers of seatledger to entry host 3', steps: [{
				atMs: 1000, action: {
					type: 'fault', targets: ['seatledger'], fault: {type: 'cut', sources: [], direction: 'answers'}, cutFrom: [3],
				},
			}],
		},
		{line: 'at 1 s take down the platform', steps: [{atMs: 1000, action: {type: 'platform', fault: {type: 'down'}}}]},
		{
			line: 'at 1 s a caller uploads 2 MB to /seats/x over 3 s', steps: [{
				atMs: 1000, action: {
					type: 'transfer', direction: 'upload', path: '/seats/x', totalBytes: 2_097_152, durationMs: 3000,
				},
			}],
		},
	];
	for (const {line, steps} of actions) {
		it(`reads "${line}"`, () => {
			const scenario = parseScenario(topology + line).unwrap();
			expect(scenario.steps).to.deep.equal(steps.map(step => ({...step, lineNumber: 4})));
		});
	}

	it('reads the topology, the load and the expectations', () => {
		const scenario = parseScenario(`${topology}service seatledger keeps a floor of 60 percent # a note
callers send 20 POST /seats a second with keys and resend on failure from 1 s
the scenario lasts 9 s
expect no work ran twice
`).unwrap();
		expect(scenario).to.deep.include({hosts: 3, dataCentres: 3, durationMs: 9000});
		expect(scenario.services[0]).to.deep.include({name: 'seatledger', instances: 4, record: {floorShare: 0.6}});
		expect(scenario.loads).to.deep.equal([{
			ratePerSecond: 20, method: 'POST', path: '/seats', keys: 'issued', resend: true, timeoutMs: 4000, fromMs: 1000, untilMs: Infinity,
		}]);
		expect(scenario.expectations).to.deep.equal([{lineNumber: 7, text: 'expect no work ran twice', expectation: {type: 'no-double-run'}}]);
	});

	const wrong = [
		{line: 'at 2 s freze entry host 1', message: 'not understood: at 2 s freze entry host 1'},
		{line: 'at 2 s kill entry host 4', message: 'no entry host 4 in the fleet'},
		{line: 'at 2 s stall seatledger-5', message: 'no instance or service named seatledger-5 above'},
		{line: 'callers send 5 GET /stones a second', message: 'no route for /stones above'},
		{line: 'service settle keeps a floor of 5 percent', message: 'no service named settle above'},
		{line: 'expect nothing much', message: 'not understood: expect nothing much'},
	];
	for (const {line, message} of wrong) {
		it(`rejects "${line}" and reports its line number`, () => {
			expect(parseScenario(topology + line).unwrapErr()).to.deep.equal([{lineNumber: 4, message}]);
		});
	}

	it('rejects a scenario without a fleet', () => {
		expect(parseScenario('').unwrapErr()).to.deep.equal([{lineNumber: 1, message: 'expected "fleet of N entry hosts in M data centres"'}]);
	});

	for (const name of readdirSync(folder)) {
		it(`reads ${name}`, () => {
			const scenario = parseScenario(readFileSync(new URL(name, folder), 'utf8'));
			expect(scenario.isErr() ? scenario.error : []).to.deep.equal([]);
		});
	}
});
