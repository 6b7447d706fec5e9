import fc from 'fast-check';
import { SeededRandom } from '../../core';
import { SegmentedStore } from '..';
import { MemoryDisk } from './disk';

const FOLDER = '/data';

type Step =
  | { readonly kind: 'append'; readonly count: number; readonly awaited: boolean }
  | { readonly kind: 'compact'; readonly awaited: boolean }
  | { readonly kind: 'crash' };

const steps = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: appendStep() },
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constant('compact' as const), awaited: fc.boolean() }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('crash' as const) }) },
  ),
  { maxLength: 40 },
);

function appendStep() {
  const kind = fc.constant('append' as const);
  return fc.record({ kind, count: fc.integer({ min: 1, max: 4 }), awaited: fc.boolean() });
}

/** Numbers in the order they were appended, over any number of losses of power. */
class Session {
  readonly #disk = new MemoryDisk();
  readonly #random: SeededRandom;
  #store = this.#open();
  #next = 1;
  #acknowledged = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
  }

  async run(list: readonly Step[]): Promise<void> {
    await this.#store.load();
    for (const step of list) await this.#take(step);
    await this.#crash();
  }

  async #take(step: Step): Promise<void> {
    if (step.kind === 'crash') {
      await this.#crash();
      return;
    }
    const done = step.kind === 'append' ? this.#append(step.count) : this.#compact();
    if (step.awaited) await done;
    else void done.catch(() => undefined);
  }

  async #append(count: number): Promise<void> {
    const store = this.#store;
    const records = Array.from({ length: count }, (_, index) => String(this.#next + index));
    this.#next += count;
    const last = this.#next - 1;
    await store.append(records);
    if (store === this.#store) this.#acknowledged = Math.max(this.#acknowledged, last);
  }

  /** A snapshot of all that was appended holds just the highest number. */
  #compact(): Promise<void> {
    const last = String(this.#next - 1);
    return this.#store.compact({ snapshot: [last], records: [], exclusive: false });
  }

  async #crash(): Promise<void> {
    this.#disk.crash(this.#random);
    this.#store = this.#open();
    const { snapshot, records } = await this.#store.load();
    const base = Number(snapshot?.[0] ?? 0);
    const kept = records.map(Number).filter((number) => number > base);
    const expected = kept.map((_, index) => base + 1 + index);
    expect(kept).toEqual(expected);
    const last = base + kept.length;
    expect(last).toBeGreaterThanOrEqual(this.#acknowledged);
    this.#next = last + 1;
    this.#acknowledged = last;
  }

  #open(): SegmentedStore {
    return new SegmentedStore({ folder: FOLDER, fileSystem: this.#disk.mount(), segmentBytes: 60 });
  }
}

/** fast-check prints seed and path of a failure; give them to `fc.assert` to replay it. */
describe('a segmented store that loses power', () => {
  it('never loses what was acknowledged, nor gives back anything else', async () => {
    await fc.assert(
      fc.asyncProperty(fc.integer(), steps, (seed, list) => new Session(seed).run(list)),
      { numRuns: 300, seed: 20_261_203 },
    );
  });
});
