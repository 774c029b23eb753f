import {expect} from 'chai';
import {parseRecord} from '../src/index.ts';

describe('parseRecord', () => {
	const cases = [
		{
			title: 'converts a version 1 service to the current shape',
			written: {
				kind: 'service', schemaVersion: 1, name: 'seatledger', revision: 3, floorPercent: 60, timeoutSeconds: 2,
			},
			expected: {
				kind: 'service', floorShare: 0.6, requestTimeoutMs: 2000, slotsPerInstance: 4,
			},
		},
		{
			title: 'converts a version 1 route that is not repeatable to at-most-once',
			written: {
				kind: 'route', schemaVersion: 1, name: 'confirm', revision: 1, path: '/seats', service: 'seatledger', repeatable: false,
			},
			expected: {kind: 'route', pathPrefix: '/seats', semantics: 'at-most-once'},
		},
		{
			title: 'fills in the defaults of a version 2 route',
			written: {
				kind: 'route', schemaVersion: 2, name: 'rosters', revision: 1, pathPrefix: '/r', service: 'rosterview', semantics: 'idempotent',
			},
			expected: {kind: 'route', methods: [], semantics: 'idempotent'},
		},
	];
	for (const {title, written, expected} of cases) {
		it(title, () => {
			expect(parseRecord(written).unwrap()).to.deep.include(expected);
		});
	}

	const refused = [
		{
			title: 'a floor above 1', written: {
				kind: 'service', schemaVersion: 2, name: 'a', revision: 1, floorShare: 2,
			}, field: 'floorShare',
		},
		{
			title: 'an unknown schema version', written: {
				kind: 'service', schemaVersion: 9, name: 'a', revision: 1,
			}, field: 'schemaVersion',
		},
		{
			title: 'a path prefix without a leading slash', written: {
				kind: 'route', schemaVersion: 2, name: 'a', revision: 1, pathPrefix: 'x', service: 's', semantics: 'idempotent',
			}, field: 'pathPrefix',
		},
	];
	for (const {title, written, field} of refused) {
		it(`refuses ${title} and names the field`, () => {
			const issues = parseRecord(written).unwrapErr();
			expect(issues.map(issue => issue.field)).to.include(field);
		});
	}
});
