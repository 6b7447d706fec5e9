import { NO_TRIES, type Tries, type TryOutcome, decideNext, mayBeSentTwice } from '..';

const ONCE = { kind: 'once', isResumable: false, attempts: 2 } as const;
const REPEATABLE = { ...ONCE, kind: 'repeatable' } as const;
const STREAM = { ...ONCE, kind: 'stream' } as const;

const RESET: TryOutcome = { kind: 'unknown', reason: 'reset', began: false };
const FULL: TryOutcome = { kind: 'not-run', status: 503 };
const UNREACHED: TryOutcome = { kind: 'not-sent', reason: 'refused' };

function next(
  outcome: TryOutcome,
  route: Parameters<typeof mayBeSentTwice>[0] = ONCE,
  facts: {
    readonly tries?: Tries;
    readonly hasCallerLeft?: boolean;
    readonly retries?: boolean;
  } = {},
) {
  const { tries = NO_TRIES, hasCallerLeft = false, retries = true } = facts;
  return decideNext({ route, tries, outcome, hasCallerLeft, retries });
}

describe('the next step of a request', () => {
  describe('that certainly did not run', () => {
    it('is another target, up to the attempts of its route', () => {
      const second = next(FULL);
      expect(second).toEqual({ kind: 'try-another', tries: { ...NO_TRIES, reached: 1 } });
      expect(next(FULL, ONCE, { tries: { ...NO_TRIES, reached: 1 } }).kind).toBe('exhausted');
    });

    it('does not count targets that were not the ones meant against the attempts', () => {
      const misdirected = next({ kind: 'not-run', status: 421 });
      expect(misdirected).toMatchObject({
        kind: 'try-another',
        tries: { reached: 0, unreached: 1 },
      });
    });

    it('ends after four targets that could not be reached', () => {
      let tries: Tries = NO_TRIES;
      for (let count = 0; count < 3; count += 1) {
        const step = next(UNREACHED, ONCE, { tries });
        if (step.kind !== 'try-another') throw new Error(step.kind);
        tries = step.tries;
      }
      expect(next(UNREACHED, ONCE, { tries }).kind).toBe('exhausted');
    });

    it('is none where retries are switched off', () => {
      expect(next(FULL, ONCE, { retries: false }).kind).toBe('exhausted');
    });
  });

  describe('that may have run', () => {
    it('is a refusal that does not promise that it did not run', () => {
      const refused = { kind: 'refuse', isNotRun: false, refusal: { status: 502 } };
      expect(next(RESET)).toMatchObject(refused);
      expect(next(RESET, STREAM)).toMatchObject(refused);
    });

    it('is another target where the route allows that', () => {
      const another = { kind: 'try-another', tries: { mayHaveRun: true } };
      expect(next(RESET, REPEATABLE)).toMatchObject(another);
      expect(next(RESET, { ...STREAM, isResumable: true })).toMatchObject(another);
    });

    it('is a refusal once a part of the answer was passed on', () => {
      const began: TryOutcome = { kind: 'unknown', reason: 'reset', began: true };
      expect(next(began, REPEATABLE)).toMatchObject({ kind: 'refuse', began: true });
    });
  });

  describe('whose time is over', () => {
    const sent: TryOutcome = { kind: 'given-up', sent: true, began: false };

    it('is a refusal that says whether it may have run', () => {
      expect(next(sent)).toMatchObject({ refusal: { status: 504 }, isNotRun: false });
      const unsent: TryOutcome = { kind: 'given-up', sent: false, began: false };
      expect(next(unsent)).toMatchObject({ refusal: { status: 503 }, isNotRun: true });
      const tries = { ...NO_TRIES, mayHaveRun: true };
      expect(next(unsent, REPEATABLE, { tries })).toMatchObject({ isNotRun: false });
    });

    it('is none where its caller has left', () => {
      expect(next(sent, ONCE, { hasCallerLeft: true })).toEqual({ kind: 'caller-left' });
    });
  });
});

describe('a second send', () => {
  it('is for calls that may be repeated and have an attempt left', () => {
    expect(mayBeSentTwice(REPEATABLE, NO_TRIES)).toBe(true);
    expect(mayBeSentTwice(REPEATABLE, { ...NO_TRIES, reached: 1 })).toBe(false);
    expect(mayBeSentTwice(ONCE, NO_TRIES)).toBe(false);
    expect(mayBeSentTwice({ ...STREAM, isResumable: true }, NO_TRIES)).toBe(false);
  });
});
