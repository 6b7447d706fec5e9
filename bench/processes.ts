import { readFileSync } from 'node:fs';

/** Clock ticks of the kernel's accounting in one second. */
const TICKS_PER_SECOND = 100;

/** Place of user and system time among the fields that follow the command's name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Processor time that a process has used, in seconds. */
export function processorSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks / TICKS_PER_SECOND;
}

/** Resident memory of a process, in megabytes of 10^6 bytes. */
export function residentMegabytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0);
  return (kibibytes * 1024) / 1e6;
}

/** Bytes that a process has read and written, sockets included. */
export function transferredBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/io`, 'utf8');
  const read = Number(/rchar: (\d+)/.exec(text)?.[1] ?? 0);
  const written = Number(/wchar: (\d+)/.exec(text)?.[1] ?? 0);
  return read + written;
}
