import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {checkFile} from '../src/index.ts';

const service = {
	kind: 'service', schemaVersion: 2, name: 'seatledger', revision: 1,
};
const entrySettings = {
	hostId: 'e1', address: '127.0.1.1', entryPort: 8080, agentPort: 8083, fleetKeys: ['key'],
};

describe('checkFile', () => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-check-'));
	after(() => {
		rmSync(folder, {recursive: true});
	});

	const cases = [
		{title: 'accepts a record', content: JSON.stringify(service), fields: []},
		{title: 'accepts the settings of an entry', content: JSON.stringify(entrySettings), fields: []},
		{title: 'reports the field of a record in a list', content: JSON.stringify([service, {...service, floorShare: 7}]), fields: ['1.floorShare']},
		{title: 'reports a setting of the wrong type', content: JSON.stringify({...entrySettings, entryPort: 'x'}), fields: ['entryPort']},
		{title: 'reports an unknown schema version', content: JSON.stringify({...service, schemaVersion: 9}), fields: ['schemaVersion']},
		{title: 'reports a file that is not JSON', content: '{', fields: ['']},
		{title: 'reports a file that holds neither a record nor settings', content: '{}', fields: ['']},
	];
	for (const [index, {title, content, fields}] of cases.entries()) {
		it(title, () => {
			const file = path.join(folder, `${index}.json`);
			writeFileSync(file, content);
			expect(checkFile(file).map(finding => finding.field)).to.deep.equal(fields);
		});
	}

	it('reports a file that cannot be read', () => {
		const [finding] = checkFile(path.join(folder, 'missing.json'));
		expect(finding?.message).to.match(/ENOENT/v);
	});
});
