import {spawnSync} from 'node:child_process';
import {
	closeSync, fstatSync, mkdtempSync, openSync, readdirSync, rmSync, statSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {bundleGateway} from '../../scripts/lib/bundle.ts';

const invalidSettingsExitCode = 2;

describe('bundle of the gateway', function () {
	this.timeout(30_000);
	let folder: string;

	beforeEach(() => {
		folder = mkdtempSync(path.join(os.tmpdir(), 'egretwing-bundle-'));
	});

	afterEach(() => {
		rmSync(folder, {recursive: true, force: true});
	});

	// Guards against a process that finds no program, or a part of one, while another build writes it.
	it('replaces the program by a new file instead of writing into it', async () => {
		const file = await bundleGateway(folder);
		const reader = openSync(file, 'r');
		const {ino, size} = fstatSync(reader);
		await bundleGateway(folder);
		expect([statSync(file).ino === ino, fstatSync(reader).size]).to.deep.equal([false, size]);
		closeSync(reader);
	});

	it('leaves a program that starts, and no part of one, when two builds run at once', async () => {
		const [file] = await Promise.all([bundleGateway(folder), bundleGateway(folder)]);
		const {status, stderr} = spawnSync(process.execPath, [file, path.join(folder, 'no-settings.json')], {encoding: 'utf8'});
		expect([status, stderr]).to.deep.equal([invalidSettingsExitCode, `egretwing-gateway: ${path.join(folder, 'no-settings.json')}: ENOENT: no such file or directory, open '${path.join(folder, 'no-settings.json')}'\n`]);
		expect(readdirSync(folder).filter(name => !name.endsWith('.cjs'))).to.deep.equal([]);
	});
});
