import fc from 'fast-check';
import { SeededRandom } from '../../core';
import { SegmentedStore } from '..';
import { MemoryDisk } from './memory-disk';

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

/** Appends consecutive numbers and checks after each power loss which ones the store returns. */
class PowerLossScenario {
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
    for (const step of list) await this.#runStep(step);
    await this.#crash();
  }

  async #runStep(step: Step): Promise<void> {
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

  /** The snapshot that replaces the numbers appended so far holds only the highest one. */
  #compact(): Promise<void> {
    const last = String(this.#next - 1);
    return this.#store.compact({ snapshot: [last], records: [], exclusive: false });
  }

  async #crash(): Promise<void> {
    this.#disk.losePower(this.#random);
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

/** To replay a failure, pass the seed and path that fast-check prints to `fc.assert`. */
describe('SegmentedStore after power losses', () => {
  it('returns each acknowledged record and no record that was not appended, without gaps', async () => {
    await fc.assert(
      fc.asyncProperty(fc.integer(), steps, (seed, list) => new PowerLossScenario(seed).run(list)),
      { numRuns: 300, seed: 20_261_203 },
    );
  });
});
