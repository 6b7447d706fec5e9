import type { TurnRecord } from '..';
import { RecordAdmission, StoreFullError, isStoreFull, largeTurnBytes } from '../record-admission';

const LARGE_BYTES = 100_000;

const LIMITS = { turnsBytes: 2_000_000, largeTurnsBytes: 1_000_000, writingBytes: 1_000_000 };

const SIZES = { totalBytes: LARGE_BYTES, largestBytes: LARGE_BYTES, largeBytes: LARGE_BYTES };

/** A write that is finished by the test. */
function startWrite(admission: RecordAdmission, bytes = LARGE_BYTES, keptBytes = 0) {
  let finish: () => void = () => undefined;
  const write = () =>
    new Promise<void>((resolve) => {
      finish = resolve;
    });
  const sizes = {
    ...{ totalBytes: bytes, largestBytes: bytes, largeBytes: bytes >= LARGE_BYTES ? bytes : 0 },
  };
  const outcome = admission.run(sizes, keptBytes, write);
  return {
    outcome,
    finish: () => {
      finish();
    },
  };
}

// Guards against turns inside the limits that end a store by their number.
describe('RecordAdmission', () => {
  it('refuses a large turn while others are written that need the memory', async () => {
    const admission = new RecordAdmission(LIMITS);
    const first = startWrite(admission);
    await expect(startWrite(admission).outcome).rejects.toThrow(StoreFullError);
    first.finish();
    await first.outcome;
    const next = startWrite(admission);
    next.finish();
    await expect(next.outcome).resolves.toBeUndefined();
  });

  it('writes one turn of any size at a time', async () => {
    const admission = new RecordAdmission({
      ...{ turnsBytes: Infinity, largeTurnsBytes: Infinity, writingBytes: 1 },
    });
    const write = startWrite(admission);
    write.finish();
    await expect(write.outcome).resolves.toBeUndefined();
  });

  it('refuses a large turn that the memory for kept turns cannot hold', async () => {
    const admission = new RecordAdmission(LIMITS);
    const { outcome } = startWrite(admission, LARGE_BYTES, 950_000);
    await expect(outcome).rejects.toThrow(StoreFullError);
  });

  it('does not refuse small turns for the limits of large ones', async () => {
    const admission = new RecordAdmission({
      turnsBytes: 20_000,
      largeTurnsBytes: 0,
      writingBytes: 0,
    });
    const writes = [startWrite(admission, 5000, 5000), startWrite(admission, 5000, 5000)];
    for (const { finish } of writes) finish();
    await expect(Promise.all(writes.map(({ outcome }) => outcome))).resolves.toHaveLength(2);
  });

  it('refuses turns of any size that the memory cannot hold, the larger ones first', async () => {
    const admission = new RecordAdmission(LIMITS);
    const outcomeOf = (bytes: number, keptBytes: number) => {
      const { outcome, finish } = startWrite(admission, bytes, keptBytes);
      finish();
      return outcome;
    };
    await expect(outcomeOf(31_000, 1_590_000)).rejects.toThrow(StoreFullError);
    await expect(outcomeOf(5000, 1_590_000)).resolves.toBeUndefined();
    await expect(outcomeOf(5000, 1_999_000)).rejects.toThrow(StoreFullError);
  });

  it('tells of its limits before they are reached', () => {
    const admission = new RecordAdmission(LIMITS);
    const sizes = [0, 950_000, 1_500_000, 1_900_000].map((bytes) =>
      admission.largestTurnBytes(bytes),
    );
    expect(sizes).toEqual([Infinity, 64 * 1024, 16 * 1024, 0]);
  });

  it('does not take a long chain of small turns for a large one', () => {
    const small = { input: Buffer.alloc(10_000), output: Buffer.alloc(0) } as TurnRecord;
    const large = { input: Buffer.alloc(LARGE_BYTES), output: Buffer.alloc(0) } as TurnRecord;
    expect(largeTurnBytes(Array.from({ length: 30 }, () => small))).toBe(0);
    expect(largeTurnBytes([small, large])).toBeGreaterThan(LARGE_BYTES);
  });

  it('gives the memory back after a failed write', async () => {
    const admission = new RecordAdmission(LIMITS);
    const failed = admission.run(SIZES, 0, () => Promise.reject(new Error('disk')));
    await expect(failed).rejects.toThrow('disk');
    const next = startWrite(admission);
    next.finish();
    await expect(next.outcome).resolves.toBeUndefined();
  });

  it('is recognised by gateways from the message of the failed call', () => {
    expect(isStoreFull(new Error(`10.0.0.1:7: ${new StoreFullError().message}`))).toBe(true);
    expect(isStoreFull(new Error('lost'))).toBe(false);
  });
});
