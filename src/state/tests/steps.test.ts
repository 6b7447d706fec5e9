import { StateMachineFixture } from './state-machine-fixture';

describe('steps of a program', () => {
  let state: StateMachineFixture;

  beforeEach(() => {
    state = new StateMachineFixture();
    state.create('p-1');
  });

  describe('in sequence', () => {
    it('run one at a time and in order', () => {
      const first = state.step('p-1', 1);
      expect(state.begin(first)).toMatchObject({ outcome: 'run', sequence: 1 });
      expect(state.begin(state.step('p-1', 2))).toEqual({
        outcome: 'wait',
        reason: 'earlier-step-missing',
      });
      state.complete(first, 'one');
      expect(state.begin(state.step('p-1', 2))).toMatchObject({ outcome: 'run', sequence: 2 });
    });

    it('get the same outcome and one reservation for a repeated begin of an attempt', () => {
      const first = state.step('p-1', 1);
      const outcome = state.begin(first);
      expect(state.begin(first)).toEqual(outcome);
      expect(state.spending('p-1').reservedCalls).toBe(1);
    });

    it('replay the stored answer to a repeated request, and refuse another request', () => {
      const first = state.step('p-1', 1);
      state.begin(first);
      state.complete(first, 'one');
      expect(state.begin(state.step('p-1', 1))).toMatchObject({
        outcome: 'replay',
        answer: { message: { content: 'one' } },
      });
      const other = state.step('p-1', 1, { requestDigest: 'other' });
      expect(state.begin(other)).toMatchObject({ code: 'sequence-conflict' });
    });
  });

  describe('of another team, another service or beyond the turn limit', () => {
    it('are refused, and a program of another team is reported as unknown', () => {
      expect(state.begin(state.step('p-1', 1, { team: 'other' }))).toMatchObject({
        code: 'unknown-program',
      });
      expect(state.begin(state.step('p-1', 1, { service: 'payroll' }))).toMatchObject({
        code: 'service-not-allowed',
      });
      expect(state.begin(state.step('p-1', 201))).toMatchObject({ code: 'turn-limit' });
    });
  });

  describe('with the full history', () => {
    const asked: readonly [string, string] = ['user', 'one?'];
    const answered: readonly [string, string] = ['assistant', 'one'];

    beforeEach(() => {
      const first = state.step('p-1', 1);
      state.begin(first);
      state.complete(first, 'one');
    });

    it('run when the list extends the stored history', () => {
      const history = StateMachineFixture.wholeHistory(asked, answered, ['user', 'two?']);
      expect(state.begin(state.step('p-1', 2, { history }))).toMatchObject({
        outcome: 'run',
        historyCount: 2,
      });
    });

    it('are refused when the list is shorter or differs at any position', () => {
      const lists = [
        StateMachineFixture.wholeHistory(asked),
        StateMachineFixture.wholeHistory(asked, ['assistant', 'uno'], ['user', 'two?']),
        StateMachineFixture.wholeHistory(['user', 'ONE?'], answered, ['user', 'two?']),
        StateMachineFixture.wholeHistory(answered, asked, ['user', 'two?']),
      ];
      for (const history of lists) {
        expect(state.begin(state.step('p-1', 2, { history }))).toMatchObject({
          code: 'history-mismatch',
        });
      }
    });
  });

  describe('whose entry has ended', () => {
    it('are run by another attempt, which supersedes a late completion', () => {
      const displaced = state.step('p-1', 1);
      state.begin(displaced);
      const next = state.step('p-1', 1, { entry: 'entry-2/b' });
      expect(state.begin(next)).toEqual({ outcome: 'wait', reason: 'step-running' });
      expect(state.begin(next, displaced.attempt)).toMatchObject({ outcome: 'run' });
      expect(state.complete(displaced, 'late')).toEqual({ outcome: 'superseded' });
      expect(state.complete(next, 'right')).toEqual({ outcome: 'recorded' });
      expect(state.complete(displaced, 'late')).toMatchObject({
        outcome: 'superseded',
        answer: { message: { content: 'right' } },
      });
      const contents = state.history('p-1', 2).map((message) => message['content']);
      expect(contents).toEqual(['right?', 'right']);
    });

    it('count the reservation of the displaced attempt as spent', () => {
      const displaced = state.step('p-1', 1);
      state.begin(displaced);
      state.begin(state.step('p-1', 1), displaced.attempt);
      expect(state.spending('p-1')).toMatchObject({ spentTokens: 200, reservedTokens: 200 });
    });

    describe('and that are not repeatable', () => {
      const claim = { target: 'plain-a', incarnation: 'x' };
      const call = { service: 'check-in', history: { kind: 'none' }, claim } as const;

      it('are settled at their target before another attempt runs', () => {
        const displaced = state.step('p-1', 1, call);
        state.begin(displaced);
        const next = state.step('p-1', 1, call);
        expect(state.begin(next, displaced.attempt)).toEqual({
          outcome: 'settle',
          sequence: 1,
          attempt: displaced.attempt,
          claim,
        });
        const settle = (kind: 'not-run' | 'unknown') => {
          const input = {
            program: 'p-1',
            sequence: 1,
            attempt: displaced.attempt,
            finding: { kind },
          };
          state.apply({ kind: 'resolve-step', at: state.now, input });
        };
        settle('unknown');
        settle('not-run');
        expect(state.begin(next)).toEqual({ outcome: 'unknown' });
      });

      it('run again when the target reports that they did not run', () => {
        const displaced = state.step('p-1', 1, call);
        state.begin(displaced);
        const finding = { kind: 'not-run' } as const;
        const input = { program: 'p-1', sequence: 1, attempt: displaced.attempt, finding };
        state.apply({ kind: 'resolve-step', at: state.now, input });
        expect(state.begin(state.step('p-1', 1, call))).toMatchObject({ outcome: 'run' });
        expect(state.spending('p-1')).toMatchObject({ spentCalls: 0, reservedCalls: 1 });
      });
    });
  });

  describe('and the budget', () => {
    it("of the root limits its own and its descendants' concurrent steps together", () => {
      state = new StateMachineFixture(500, 10);
      state.create('p-1');
      state.create('p-2', 'p-1');
      state.create('p-3', 'p-2');
      const outcomes = ['p-1', 'p-2', 'p-3'].map((id) => state.begin(state.step(id, 1)));
      expect(outcomes).toMatchObject([
        { outcome: 'run' },
        { outcome: 'run' },
        { code: 'budget-exceeded' },
      ]);
      expect(state.spending('p-3')).toMatchObject({ reservedTokens: 400, spentTokens: 0 });
    });

    it('is charged the tokens used, and limits calls too', () => {
      state = new StateMachineFixture(10_000, 1);
      state.create('p-1');
      const first = state.step('p-1', 1);
      state.begin(first);
      state.complete(first, 'one');
      expect(state.spending('p-1')).toMatchObject({ spentTokens: 60, reservedTokens: 0 });
      expect(state.begin(state.step('p-1', 2))).toMatchObject({ code: 'budget-exceeded' });
    });
  });

  describe('of an ended program', () => {
    it('are refused, also in its children, and targets get an order to release caches', () => {
      state.create('p-2', 'p-1');
      const first = state.step('p-2', 1);
      state.begin(first);
      state.complete(first, 'one');
      const input = { program: 'p-1', reason: 'deleted' } as const;
      state.apply({ kind: 'end-program', at: state.now, input });
      expect(state.begin(state.step('p-2', 2))).toMatchObject({ code: 'program-ended' });
      expect([...state.machine.tables.orders.values()]).toMatchObject([
        { target: 'engine-a', kind: 'release-cache', program: 'p-2' },
      ]);
      expect(state.machine.tables.programs.get('p-2')?.endReason).toBe('parent-ended');
    });

    describe('that ended during a turn', () => {
      function orders() {
        return [...state.machine.tables.orders.values()];
      }

      function end() {
        const input = { program: 'p-1', reason: 'deleted' } as const;
        state.apply({ kind: 'end-program', at: state.now, input });
      }

      it('create the order to release the cache when the turn completes', () => {
        const late = state.step('p-1', 1);
        state.begin(late);
        end();
        expect(orders()).toEqual([]);
        expect(state.complete(late, 'late')).toMatchObject({ outcome: 'superseded' });
        expect(orders()).toMatchObject([{ target: 'engine-a', program: 'p-1' }]);
      });

      it('create the order when the turn is abandoned, even after the program is purged', () => {
        const late = state.step('p-1', 1);
        state.begin(late);
        end();
        state.apply({ kind: 'forget-programs', at: state.now, programs: ['p-1'] });
        state.abandon(late, ['engine-a', 'engine-b']);
        const released = orders().map((order) => order.target);
        expect(released).toEqual(['engine-a', 'engine-b']);
      });
    });

    it('create the order for the target of a displaced attempt, too', () => {
      const displaced = state.step('p-1', 1);
      state.begin(displaced);
      const next = state.step('p-1', 1);
      state.begin(next, displaced.attempt);
      state.abandon(displaced, ['engine-b']);
      state.complete(next, 'one');
      const input = { program: 'p-1', reason: 'deleted' } as const;
      state.apply({ kind: 'end-program', at: state.now, input });
      const released = [...state.machine.tables.orders.values()].map((order) => order.target);
      expect(released.sort()).toEqual(['engine-a', 'engine-b']);
    });

    it('keep their answers until the program is purged', () => {
      const first = state.step('p-1', 1);
      state.begin(first);
      state.complete(first, 'one');
      const input = { program: 'p-1', reason: 'deleted' } as const;
      state.apply({ kind: 'end-program', at: state.now, input });
      expect(state.begin(state.step('p-1', 1))).toMatchObject({ outcome: 'replay' });
      state.apply({ kind: 'forget-programs', at: state.now, programs: ['p-1'] });
      expect(state.begin(state.step('p-1', 1))).toMatchObject({ code: 'unknown-program' });
      expect(state.machine.tables.spending.size).toBe(0);
    });
  });
});
