/**
 * Bundles the platform's program: a start file, which handles signals and then loads a file with all other code.
 *
 * Node.js reads and compiles a file before it runs the first line of it, so that a signal handler in one large file would stand
 * only after twice the time. Each file is complete before it gets its name, and the large one is named by its content, so that a
 * build that is interrupted, or that runs beside another one, leaves a program that starts.
 */

import {createHash} from 'node:crypto';
import {mkdirSync, renameSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build, type BuildOptions} from 'esbuild';

const root = fileURLToPath(new URL('../../', import.meta.url));
const startFile = 'egretwing-gateway.cjs';
const hashLength = 16;

const common: BuildOptions = {
	absWorkingDir: root, bundle: true, platform: 'node', target: 'node20', conditions: ['source'], external: ['cbor-extract'], logLevel: 'warning',
};

const bundle = async (entryPoint: string, options: BuildOptions = {}): Promise<string> => {
	const {outputFiles} = await build({
		...common, ...options, entryPoints: [entryPoint], write: false,
	});
	return outputFiles[0]!.text;
};

/** Writes a file that no process can see in part. */
const writeWhole = (file: string, text: string): void => {
	const temporary = `${file}.${process.pid}.part`;
	writeFileSync(temporary, text);
	renameSync(temporary, file);
};

/** Writes the program into `folder`; returns the path of its start file. */
export const bundleGateway = async (folder: string): Promise<string> => {
	const code = await bundle('platform/main.ts');
	const codeFile = `egretwing-gateway-${createHash('sha256').update(code).digest('hex').slice(0, hashLength)}.cjs`;
	const start = await bundle('platform/early-signals.ts', {footer: {js: `require('./${codeFile}');`}});
	mkdirSync(folder, {recursive: true});
	writeWhole(path.join(folder, codeFile), code);
	writeWhole(path.join(folder, startFile), start);
	return path.join(folder, startFile);
};
