/** The entry, which carries the requests of callers, for embedding and tests. */

export {startEntry} from './entry.ts';
export type {Entry} from './entry.ts';
export {entrySettingsSchema} from './settings.ts';
export type {EntrySettings} from './settings.ts';
