export { StorageError } from './errors';
export { FileRecordStore, type RecordStore } from './record-file';
