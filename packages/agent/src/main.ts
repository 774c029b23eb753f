#!/usr/bin/env node
/** The `egretwing-agent` program: `egretwing-agent SETTINGS.json`. */

import {onShutdownSignal, runDaemon} from '@egretwing/node';
import {startAgent} from './agent.ts';
import {agentSettingsSchema} from './settings.ts';

await runDaemon('egretwing-agent', agentSettingsSchema, async settings => {
	const agent = await startAgent(settings);
	onShutdownSignal(() => {
		void agent.shutdown();
	});
});
