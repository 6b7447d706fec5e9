import { TurnsUnavailableError } from '..';
import { StoreGroup, createRecord } from './store-group';

const MEMBERS = ['s1', 's2', 's3', 's4', 's5'];

const DEADLINE_MILLISECONDS = 1500;

async function startGroup() {
  const group = new StoreGroup();
  for (const name of MEMBERS) await group.start(name);
  const view = group.viewOf(1, MEMBERS);
  await group.offer(view, MEMBERS);
  return { group, view };
}

function lookUp(group: StoreGroup, client: ReturnType<StoreGroup['client']>, turn: string) {
  const deadline = group.clock.monotonic() + DEADLINE_MILLISECONDS;
  return group.outcomeOf(client.chain(turn, 'p', deadline));
}

function record(
  group: StoreGroup,
  client: ReturnType<StoreGroup['client']>,
  id: string,
  previous?: string,
) {
  const deadline = group.clock.monotonic() + DEADLINE_MILLISECONDS;
  return group.outcomeOf(client.record(createRecord(id, { previous }), deadline));
}

// Guards against a recorded turn reported as absent: only a quorum of complete stores may say so.
describe('the lookup of a turn', () => {
  describe('that no store holds', () => {
    it('reports absence once a quorum of complete stores has confirmed it', async () => {
      const { group, view } = await startGroup();
      group.cut('g', ['s4', 's5']);
      expect(await lookUp(group, group.client('g', view), 't1')).toEqual({ kind: 'absent' });
    });

    it('leaves it open while one store less than a quorum answers', async () => {
      const { group, view } = await startGroup();
      group.cut('g', ['s3', 's4', 's5']);
      const lookup = await lookUp(group, group.client('g', view), 't1');
      expect(lookup).toBeInstanceOf(TurnsUnavailableError);
    });

    it('leaves it open while a store of the quorum is incomplete', async () => {
      const { group, view } = await startGroup();
      group.cut('s5', MEMBERS);
      const next = { ...group.viewOf(2, MEMBERS, { s5: 2 }), quorum: view.quorum };
      await group.offer(next, MEMBERS);
      group.cut('g', ['s3', 's4']);
      const lookup = await lookUp(group, group.client('g', next), 't1');
      expect(lookup).toBeInstanceOf(TurnsUnavailableError);
    });

    it('leaves it open while no view of the stores is known', async () => {
      const { group } = await startGroup();
      const lookup = await lookUp(group, group.client('g', undefined), 't1');
      expect(lookup).toBeInstanceOf(TurnsUnavailableError);
    });
  });

  describe('whose ancestor no store holds', () => {
    it('rejects as unavailable, since the turn exists', async () => {
      const { group, view } = await startGroup();
      const client = group.client('g', view);
      await record(group, client, 't2', 't1');
      expect(await lookUp(group, client, 't2')).toBeInstanceOf(TurnsUnavailableError);
    });
  });

  describe('recorded in a newer view', () => {
    it('adopts that view from the stores and finds the turn', async () => {
      const { group, view } = await startGroup();
      await group.start('s6');
      const members = ['s1', 's2', 's3', 's4', 's6'];
      const next = group.viewOf(2, members, { s6: 2 });
      await group.offer(next, members);
      await record(group, group.client('g1', next), 't1');
      const lookup = await lookUp(group, group.client('g2', view), 't1');
      expect(lookup).toMatchObject({ kind: 'found', records: [{ id: 't1' }] });
    });
  });

  describe('whose record failed at one store less than a quorum', () => {
    it('was not acknowledged', async () => {
      const { group, view } = await startGroup();
      group.cut('g', ['s3', 's4', 's5']);
      const recorded = await record(group, group.client('g', view), 't1');
      expect(recorded).toBeInstanceOf(TurnsUnavailableError);
    });

    it('was not acknowledged by stores of another view', async () => {
      const { group, view } = await startGroup();
      const next = { ...view, epoch: 2 };
      await group.offer(next, ['s1', 's2']);
      group.cut('g', ['s5']);
      const recorded = await record(group, group.client('g', next), 't1');
      expect(recorded).toBeInstanceOf(TurnsUnavailableError);
    });
  });
});
