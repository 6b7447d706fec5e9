import { readFileSync } from 'node:fs';

/** USER_HZ of the kernel, see proc(5). */
const TICKS_PER_SECOND = 100;

/** Indices of utime and stime among the fields of /proc/PID/stat that follow the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** User and system time of a process; seconds. */
export function processorSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks / TICKS_PER_SECOND;
}

/** Resident set size of a process; megabytes of 10^6 bytes. */
export function residentMegabytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0);
  return (kibibytes * 1024) / 1e6;
}

/** Bytes that a process has read and written through system calls, sockets included. */
export function transferredBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/io`, 'utf8');
  const read = Number(/rchar: (\d+)/.exec(text)?.[1] ?? 0);
  const written = Number(/wchar: (\d+)/.exec(text)?.[1] ?? 0);
  return read + written;
}
