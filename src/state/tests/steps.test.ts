import { StateFixture } from './fixture';

describe('steps of a program', () => {
  let state: StateFixture;

  beforeEach(() => {
    state = new StateFixture();
    state.create('p-1');
  });

  describe('in order', () => {
    it('run one at a time', () => {
      const first = state.step('p-1', 1);
      expect(state.begin(first)).toMatchObject({ outcome: 'run', sequence: 1 });
      expect(state.begin(state.step('p-1', 2))).toEqual({
        outcome: 'wait',
        reason: 'earlier-step-missing',
      });
      state.complete(first, 'one');
      expect(state.begin(state.step('p-1', 2))).toMatchObject({ outcome: 'run', sequence: 2 });
    });

    it('give a repeated begin of the same attempt the same answer', () => {
      const first = state.step('p-1', 1);
      const outcome = state.begin(first);
      expect(state.begin(first)).toEqual(outcome);
      expect(state.spending('p-1').reservedCalls).toBe(1);
    });

    it('give a resend the stored answer, and another request under its sequence none', () => {
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

  describe('of another team, service or beyond the limit', () => {
    it('are refused, the program of another team as if there were none', () => {
      expect(state.begin(state.step('p-1', 1, { team: 'other' }))).toMatchObject({
        code: 'unknown-program',
      });
      expect(state.begin(state.step('p-1', 1, { service: 'payroll' }))).toMatchObject({
        code: 'service-not-allowed',
      });
      expect(state.begin(state.step('p-1', 201))).toMatchObject({ code: 'turn-limit' });
    });
  });

  describe('with the whole history', () => {
    const asked: readonly [string, string] = ['user', 'one?'];
    const answered: readonly [string, string] = ['assistant', 'one'];

    beforeEach(() => {
      const first = state.step('p-1', 1);
      state.begin(first);
      state.complete(first, 'one');
    });

    it('run when the list extends what is stored', () => {
      const history = StateFixture.whole(asked, answered, ['user', 'two?']);
      expect(state.begin(state.step('p-1', 2, { history }))).toMatchObject({
        outcome: 'run',
        historyCount: 2,
      });
    });

    it('are refused when it is shorter, or other anywhere', () => {
      const lists = [
        StateFixture.whole(asked),
        StateFixture.whole(asked, ['assistant', 'uno'], ['user', 'two?']),
        StateFixture.whole(['user', 'ONE?'], answered, ['user', 'two?']),
        StateFixture.whole(answered, asked, ['user', 'two?']),
      ];
      for (const history of lists) {
        expect(state.begin(state.step('p-1', 2, { history }))).toMatchObject({
          code: 'history-mismatch',
        });
      }
    });
  });

  describe('whose entry died', () => {
    it('are taken over, and the dead attempt changes nothing any more', () => {
      const dead = state.step('p-1', 1);
      state.begin(dead);
      const next = state.step('p-1', 1, { entry: 'entry-2/b' });
      expect(state.begin(next)).toEqual({ outcome: 'wait', reason: 'step-running' });
      expect(state.begin(next, dead.attempt)).toMatchObject({ outcome: 'run' });
      expect(state.complete(dead, 'late')).toEqual({ outcome: 'superseded' });
      expect(state.complete(next, 'right')).toEqual({ outcome: 'recorded' });
      expect(state.complete(dead, 'late')).toMatchObject({
        outcome: 'superseded',
        answer: { message: { content: 'right' } },
      });
      const contents = state.history('p-1', 2).map((message) => message['content']);
      expect(contents).toEqual(['right?', 'right']);
    });

    it('count the whole reservation of the dead attempt as spent', () => {
      const dead = state.step('p-1', 1);
      state.begin(dead);
      state.begin(state.step('p-1', 1), dead.attempt);
      expect(state.spending('p-1')).toMatchObject({ spentTokens: 200, reservedTokens: 200 });
    });

    describe('and may not be repeated', () => {
      const claim = { target: 'plain-a', incarnation: 'x' };
      const call = { service: 'check-in', history: { kind: 'none' }, claim } as const;

      it('are settled at their target before anything runs again', () => {
        const dead = state.step('p-1', 1, call);
        state.begin(dead);
        const next = state.step('p-1', 1, call);
        expect(state.begin(next, dead.attempt)).toEqual({
          outcome: 'settle',
          sequence: 1,
          attempt: dead.attempt,
          claim,
        });
        const settle = (kind: 'not-run' | 'unknown') => {
          const input = { program: 'p-1', sequence: 1, attempt: dead.attempt, finding: { kind } };
          state.apply({ kind: 'resolve-step', at: state.now, input });
        };
        settle('unknown');
        settle('not-run');
        expect(state.begin(next)).toEqual({ outcome: 'unknown' });
      });

      it('run again when they provably did not', () => {
        const dead = state.step('p-1', 1, call);
        state.begin(dead);
        const finding = { kind: 'not-run' } as const;
        const input = { program: 'p-1', sequence: 1, attempt: dead.attempt, finding };
        state.apply({ kind: 'resolve-step', at: state.now, input });
        expect(state.begin(state.step('p-1', 1, call))).toMatchObject({ outcome: 'run' });
        expect(state.spending('p-1')).toMatchObject({ spentCalls: 0, reservedCalls: 1 });
      });
    });
  });

  describe('and the budget', () => {
    it('of the root bounds its sub-agents together, also at the same time', () => {
      state = new StateFixture(500, 10);
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

    it('is charged what was used, and counts calls too', () => {
      state = new StateFixture(10_000, 1);
      state.create('p-1');
      const first = state.step('p-1', 1);
      state.begin(first);
      state.complete(first, 'one');
      expect(state.spending('p-1')).toMatchObject({ spentTokens: 60, reservedTokens: 0 });
      expect(state.begin(state.step('p-1', 2))).toMatchObject({ code: 'budget-exceeded' });
    });
  });

  describe('of a program that ends', () => {
    it('end with its sub-agents, and every target that may hold cache is told', () => {
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

    describe('while a turn is under way', () => {
      function orders() {
        return [...state.machine.tables.orders.values()];
      }

      function end() {
        const input = { program: 'p-1', reason: 'deleted' } as const;
        state.apply({ kind: 'end-program', at: state.now, input });
      }

      it('have what the turn left in cache released once its answer comes', () => {
        const late = state.step('p-1', 1);
        state.begin(late);
        end();
        expect(orders()).toEqual([]);
        expect(state.complete(late, 'late')).toMatchObject({ outcome: 'superseded' });
        expect(orders()).toMatchObject([{ target: 'engine-a', program: 'p-1' }]);
      });

      it('have what a failed turn left in cache released, also once they are forgotten', () => {
        const late = state.step('p-1', 1);
        state.begin(late);
        end();
        state.apply({ kind: 'forget-programs', at: state.now, programs: ['p-1'] });
        state.abandon(late, ['engine-a', 'engine-b']);
        const released = orders().map((order) => order.target);
        expect(released).toEqual(['engine-a', 'engine-b']);
      });
    });

    it('release the cache of an attempt that another took over, too', () => {
      const dead = state.step('p-1', 1);
      state.begin(dead);
      const next = state.step('p-1', 1);
      state.begin(next, dead.attempt);
      state.abandon(dead, ['engine-b']);
      state.complete(next, 'one');
      const input = { program: 'p-1', reason: 'deleted' } as const;
      state.apply({ kind: 'end-program', at: state.now, input });
      const released = [...state.machine.tables.orders.values()].map((order) => order.target);
      expect(released.sort()).toEqual(['engine-a', 'engine-b']);
    });

    it('keep their answers until they are forgotten', () => {
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
