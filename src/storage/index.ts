export {
  type ContentLocation,
  ContentStore,
  type ContentStoreOptions,
  contentLocationSchema,
} from './content-store';
export { StorageError } from './errors';
export {
  type AppendFile,
  type FileSystem,
  NodeFileSystem,
  type NodeFileSystemOptions,
} from './file-system';
export { QuarantiningStore, type QuarantiningStoreOptions } from './quarantining-store';
export type { Compaction, RecordConsumer, RecordStore, StoredRecords } from './record-store';
export { RetryDelay, type RetryDelayOptions } from './retry-delay';
export { SegmentedStore, type SegmentedStoreOptions, markDamaged } from './segmented-store';
export { RecoveringStore, type RecoveringStoreOptions } from './recovering-store';
