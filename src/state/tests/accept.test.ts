import { digestFiles } from '../../configuration';
import { StateFixture, filesWithBudget } from './fixture';

function directory(number: number, tokens: number) {
  const files = filesWithBudget(tokens, 10).map((file) => ({
    ...file,
    text: file.text.replace('number = 1', `number = ${number}`),
  }));
  return { number, digest: digestFiles(files), files };
}

describe('accepting a configuration', () => {
  let state: StateFixture;

  beforeEach(() => {
    state = new StateFixture();
  });

  function accept(input: ReturnType<typeof directory>) {
    return state.apply({ kind: 'accept-configuration', at: state.now, input });
  }

  it('gives a resend its first answer for ever, also when a higher one is in force', () => {
    const second = directory(2, 100);
    const answer = accept(second);
    expect(answer).toMatchObject({ outcome: 'accepted', number: 2 });
    expect(accept(directory(3, 200))).toMatchObject({ outcome: 'accepted', number: 3 });
    expect(accept(second)).toEqual(answer);
    expect(state.machine.tables.accepted?.configuration.number).toBe(3);
  });

  it('refuses the loser of a race with equal numbers, naming the winner', () => {
    const winner = directory(2, 100);
    accept(winner);
    expect(accept(directory(2, 200))).toMatchObject({
      outcome: 'not-accepted',
      code: 'number-taken',
      digest: winner.digest,
    });
  });

  it('refuses a lower number, and files that do not match their digest', () => {
    accept(directory(5, 100));
    expect(accept(directory(4, 100))).toMatchObject({ code: 'number-low', number: 5 });
    expect(accept({ ...directory(6, 100), digest: 'x' })).toMatchObject({ code: 'invalid' });
  });
});
