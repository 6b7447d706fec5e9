export { type EntryProcessOptions, createEntryProcess } from './process';
