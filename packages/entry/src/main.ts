#!/usr/bin/env node
/** The `egretwing-entry` program: `egretwing-entry SETTINGS.json`. */

import {onShutdownSignal, runDaemon} from '@egretwing/node';
import {startEntry} from './entry.ts';
import {entrySettingsSchema} from './settings.ts';

await runDaemon('egretwing-entry', entrySettingsSchema, async settings => {
	const entry = await startEntry(settings);
	onShutdownSignal(() => {
		void entry.shutdown();
	});
});
