import type { IncomingMessage } from 'node:http';
import {
  BlockBuffer,
  type MemoryAccount,
  type MemoryBudget,
  type MemoryReclaimer,
} from '../resources';
import { takeBodyChunks } from './body-chunks';

/** How the body of a request ended, or why it is not read any further. */
export type RequestBodyOutcome =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** The process has no memory for it at present. */
  | { readonly kind: 'no-memory' }
  | { readonly kind: 'disconnected' }
  /** The time for the request was over; see {@link RequestBody.cancel}. */
  | { readonly kind: 'late' };

export interface RequestBodyOptions {
  readonly request: IncomingMessage;
  readonly limitBytes: number;
  readonly budget: MemoryBudget;
  readonly reclaimer: MemoryReclaimer;
}

const NO_BODY = Buffer.alloc(0);

/**
 * Reads the body of one request into memory that is counted by a budget. Reading starts at once and
 * ends with the first outcome; what arrives afterwards is dropped.
 */
export class RequestBody {
  readonly outcome: Promise<RequestBodyOutcome>;
  readonly #options: RequestBodyOptions;
  readonly #blocks = new BlockBuffer();
  #account: MemoryAccount | undefined;
  #resolve: (outcome: RequestBodyOutcome) => void = () => undefined;
  #settled: RequestBodyOutcome | undefined;

  constructor(options: RequestBodyOptions) {
    this.#options = options;
    const { request, limitBytes } = options;
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    if (!hasBody(request)) {
      request.resume();
      this.#settle({ kind: 'complete', body: NO_BODY });
    } else if (isTooLong(request, limitBytes)) this.#settle({ kind: 'too-large' });
    else if (request.destroyed) this.#settle({ kind: 'disconnected' });
    else this.#read();
  }

  /** The outcome; undefined while the body is being read. */
  get settled(): RequestBodyOutcome | undefined {
    return this.#settled;
  }

  /** Stops reading because the time for the request is over. */
  cancel(): void {
    this.#settle({ kind: 'late' });
  }

  /** Gives the memory of the body back; its buffer must not be used afterwards. */
  close(): void {
    this.#settle({ kind: 'disconnected' });
    const { reclaimer } = this.#options;
    if (this.#account !== undefined) reclaimer.recordReleased(this.#account.bytes);
    this.#account?.close();
  }

  #read(): void {
    const { request, budget } = this.#options;
    this.#account = budget.open({
      onRevoked: () => {
        this.#settle({ kind: 'no-memory' });
      },
    });
    const disconnect = () => {
      this.#settle({ kind: 'disconnected' });
    };
    takeBodyChunks(request, this.#take);
    request.once('end', this.#complete);
    request.once('error', disconnect);
    request.once('close', disconnect);
  }

  readonly #take = (chunk: Buffer): void => {
    const { limitBytes, reclaimer } = this.#options;
    if (this.#settled !== undefined) {
      reclaimer.recordReleased(chunk.length);
      return;
    }
    const blocks = this.#blocks;
    if (blocks.length + chunk.length > limitBytes) {
      this.#settle({ kind: 'too-large' });
      return;
    }
    const before = blocks.allocatedBytes;
    blocks.append(chunk);
    const added = blocks.allocatedBytes - before;
    if (added > 0 && this.#account?.grow(added) !== true) this.#settle({ kind: 'no-memory' });
  };

  readonly #complete = (): void => {
    const blocks = this.#blocks;
    const copiedBytes = blocks.isSplit ? blocks.length : 0;
    if (this.#account?.grow(copiedBytes) === false) {
      this.#settle({ kind: 'no-memory' });
      return;
    }
    const body = blocks.toBuffer();
    if (copiedBytes > 0) {
      this.#account?.shrink(blocks.allocatedBytes);
      this.#options.reclaimer.recordReleased(blocks.allocatedBytes);
    }
    this.#account?.pin();
    this.#settle({ kind: 'complete', body });
  };

  #settle(outcome: RequestBodyOutcome): void {
    if (this.#settled !== undefined) return;
    this.#settled = outcome;
    const { request, reclaimer } = this.#options;
    request.off('end', this.#complete);
    const { allocatedBytes } = this.#blocks;
    this.#blocks.clear();
    if (outcome.kind !== 'complete') {
      // Only now, since the collector may run at once.
      reclaimer.recordReleased(allocatedBytes);
      this.#account?.close();
    }
    this.#resolve(outcome);
  }
}

/** RFC 9112, section 6.3. */
export function hasBody({ headers }: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = headers;
  return encoding !== undefined || (length !== undefined && length !== '0');
}

/** Whether the head of a request announces more than `limitBytes`. */
export function isTooLong({ headers }: IncomingMessage, limitBytes: number): boolean {
  return Number(headers['content-length'] ?? 0) > limitBytes;
}
