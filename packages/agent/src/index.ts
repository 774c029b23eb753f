/** The agent of an entry host, for embedding and tests. */

export {startAgent} from './agent.ts';
export type {Agent} from './agent.ts';
export {agentSettingsSchema} from './settings.ts';
export type {AgentSettings} from './settings.ts';
