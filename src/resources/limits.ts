const MEGABYTE = 1024 * 1024;

export interface ResourceSettings {
  readonly 'memory-megabytes': number;
  readonly descriptors: number;
  /** Undefined if the size of the disk is not known. */
  readonly 'disk-megabytes'?: number | undefined;
}

export interface ResourceLimits {
  /** Memory for the bodies of requests, and for streams that callers have not read; bytes. */
  readonly bodyBytes: number;
  /** Memory for responses that are buffered until their callers have read them; bytes. */
  readonly responseBytes: number;
  /** Responses that may wait for that memory at once. */
  readonly waitingResponses: number;
  /** Memory for the bodies of operators' calls; bytes. */
  readonly operatorBytes: number;
  /** Memory for messages of other processes that have not arrived completely; bytes. */
  readonly frameBytes: number;
  /** Memory for stored turns of any size, of a store, which its disk holds as well; bytes. */
  readonly turnsBytes: number;
  /** Memory for stored turns beyond which large ones are refused, of a store; bytes. */
  readonly largeTurnsBytes: number;
  /** Memory to write turns with, of a store; bytes. */
  readonly writingBytes: number;
  /** Memory of the cache of completed turns, of a gateway; bytes. */
  readonly chainCacheBytes: number;
  /** Released memory after which the collector is run; bytes. */
  readonly collectionBytes: number;
  readonly connections: ListenerConnections;
}

/** Connections that each listener accepts at once. */
export interface ListenerConnections {
  readonly callers: number;
  readonly operators: number;
  readonly readiness: number;
  readonly metrics: number;
  readonly peers: number;
}

/** Resident memory of a process that serves ordinary requests. */
const BASE_MEGABYTES = 76;

/** Memory beyond the base that is assumed at least. */
const SMALLEST_ROOM_MEGABYTES = 16;

/** Shares of the memory beyond the base. */
const BODY_SHARE = 0.2;
const RESPONSE_SHARE = 0.15;
const WAITING_RESPONSE_SHARE = 0.25;
const OPERATOR_SHARE = 0.2;
const FRAME_SHARE = 0.2;
const TURNS_SHARE = 0.6;
const LARGE_TURNS_SHARE = 0.25;
const WRITING_SHARE = 0.2;
const CHAIN_CACHE_SHARE = 0.2;
const COLLECTION_SHARE = 0.06;
const CONNECTION_SHARE = 0.25;

/** Room for a configuration of thousands of routes, in a message or in an operator's call. */
const SMALLEST_MESSAGE_BYTES = 12 * MEGABYTE;

const SMALLEST_CHAIN_CACHE_BYTES = 8 * MEGABYTE;
const LARGEST_CHAIN_CACHE_BYTES = 24 * MEGABYTE;

/** Memory of a connection whose request head is incomplete. */
const CONNECTION_BYTES = 32 * 1024;

/** Memory of a connection that is not read while its response waits: two reads. */
export const WAITING_RESPONSE_BYTES = 128 * 1024;

/** Responses that may wait in any memory that a process can run in. */
const FEWEST_WAITING_RESPONSES = 64;

const FEWEST_CONNECTIONS = 8;

/** Callers' connections that fit into any memory that a process can run in. */
const FEWEST_CALLERS = 512;

/** Shares of the descriptors; what remains is for targets, peers, stores and files. */
const DESCRIPTOR_SHARES = {
  callers: 0.4,
  peers: 0.15,
  operators: 0.04,
  readiness: 0.04,
  metrics: 0.04,
};

/** Derives the limits of one process from what its host gives it. */
export function resourceLimits(settings: ResourceSettings): ResourceLimits {
  const memory = settings['memory-megabytes'];
  const room = Math.max(memory - BASE_MEGABYTES, SMALLEST_ROOM_MEGABYTES) * MEGABYTE;
  const share = (name: keyof typeof DESCRIPTOR_SHARES) =>
    Math.max(FEWEST_CONNECTIONS, Math.floor(settings.descriptors * DESCRIPTOR_SHARES[name]));
  const callersInMemory = Math.floor((room * CONNECTION_SHARE) / CONNECTION_BYTES);
  return {
    bodyBytes: room * BODY_SHARE,
    responseBytes: room * RESPONSE_SHARE,
    waitingResponses: Math.max(
      Math.floor((room * WAITING_RESPONSE_SHARE) / WAITING_RESPONSE_BYTES),
      FEWEST_WAITING_RESPONSES,
    ),
    operatorBytes: Math.max(room * OPERATOR_SHARE, SMALLEST_MESSAGE_BYTES),
    frameBytes: Math.max(room * FRAME_SHARE, SMALLEST_MESSAGE_BYTES),
    turnsBytes: Math.min(room * TURNS_SHARE, turnsOnDisk(settings['disk-megabytes'])),
    largeTurnsBytes: room * LARGE_TURNS_SHARE,
    writingBytes: room * WRITING_SHARE,
    chainCacheBytes: Math.min(
      Math.max(room * CHAIN_CACHE_SHARE, SMALLEST_CHAIN_CACHE_BYTES),
      LARGEST_CHAIN_CACHE_BYTES,
    ),
    collectionBytes: room * COLLECTION_SHARE,
    connections: {
      callers: Math.min(share('callers'), Math.max(callersInMemory, FEWEST_CALLERS)),
      operators: share('operators'),
      readiness: share('readiness'),
      metrics: share('metrics'),
      peers: share('peers'),
    },
  };
}

/** Room on a disk besides two copies of the turns: what was appended since the last snapshot. */
const APPENDED_MEGABYTES = 64;

/** Smallest share of a disk for the turns, if it has less than that room. */
const SMALLEST_TURNS_SHARE = 0.1;

/** Bytes on disk for each byte of a turn, at most: Base64. */
const ENCODING_FACTOR = 4 / 3;

/** Turns that a disk holds twice: in the present snapshot, and in the one that replaces it; bytes. */
function turnsOnDisk(megabytes: number | undefined): number {
  if (megabytes === undefined) return Infinity;
  const room = Math.max(megabytes - APPENDED_MEGABYTES, megabytes * SMALLEST_TURNS_SHARE);
  return (room * MEGABYTE) / (2 * ENCODING_FACTOR);
}
