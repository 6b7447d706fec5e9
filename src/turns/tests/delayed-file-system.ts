import type { RandomSource } from '../../core';
import type { AppendFile, FileSystem } from '../../storage';
import type { EventClock } from './event-clock';
import type { SimulatedProcess } from './simulated-process';

/** Greatest duration of a write or sync on a sound disk. */
const OPERATION_MILLISECONDS = 2;

export interface DelayedFileSystemOptions {
  readonly fileSystem: FileSystem;
  readonly process: SimulatedProcess;
  readonly clock: EventClock;
  readonly random: RandomSource;
  /** Additional duration of a write or sync; milliseconds. */
  readonly extraMilliseconds: () => number;
}

/** File system whose writes and syncs take simulated time and end with the process. */
export function delayFileSystem(options: DelayedFileSystemOptions): FileSystem {
  const { fileSystem, process, clock, random, extraMilliseconds } = options;
  const delayed = <Result>(action: () => Promise<Result>): Promise<Result> =>
    new Promise((resolve, reject) => {
      const duration = extraMilliseconds() + random.fraction() * OPERATION_MILLISECONDS;
      clock.after(duration, () => {
        if (process.isRunning) action().then(resolve, reject);
      });
    });
  const wrap = (file: AppendFile): AppendFile => ({
    append: (bytes) => delayed(() => file.append(bytes)),
    sync: () => delayed(() => file.sync()),
    close: () => file.close(),
  });
  return {
    ensureFolder: (folder) => fileSystem.ensureFolder(folder),
    list: (folder) => fileSystem.list(folder),
    read: (file) => fileSystem.read(file),
    readAt: (file, offset, length) => fileSystem.readAt(file, offset, length),
    create: async (file) => wrap(await delayed(() => fileSystem.create(file))),
    createSynchronous: async (file) =>
      wrap(await delayed(() => fileSystem.createSynchronous(file))),
    openForAppend: async (file, length) => wrap(await fileSystem.openForAppend(file, length)),
    rename: (from, to) => delayed(() => fileSystem.rename(from, to)),
    remove: (path) => delayed(() => fileSystem.remove(path)),
    syncFolder: (folder) => delayed(() => fileSystem.syncFolder(folder)),
  };
}
