import { SeededRandom } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { SegmentedStore } from '../../storage';
import { MemoryDisk } from '../../storage/tests/memory-disk';
import { type Envelope, type LogEntry, type RaftMessage, ReplicatedLog } from '..';
import { ListMachine } from './list-machine';

const LEADER = 'b/leader';
const MEMBERSHIP = { voters: ['a/unknown', LEADER], learners: [] };

function entries(first: number, last: number): readonly LogEntry[] {
  return Array.from({ length: last - first + 1 }, (_, offset) => {
    const index = first + offset;
    return { index, term: 1, command: `command ${index}` };
  });
}

describe('ReplicatedLog with a store', () => {
  let disk: MemoryDisk;
  let sent: Envelope[];
  let machine: ListMachine;
  let log: ReplicatedLog<number>;
  const random = new SeededRandom(1);

  async function start(): Promise<void> {
    machine = new ListMachine();
    log = new ReplicatedLog<number>({
      self: 'a',
      hosts: () => ['a', 'b'],
      store: new SegmentedStore({ folder: '/log', fileSystem: disk.mount() }),
      transport: { send: (envelope) => sent.push(envelope) },
      machine,
      clock: new ManualClock(),
      random,
    });
    await log.start();
  }

  beforeEach(async () => {
    disk = new MemoryDisk();
    sent = [];
    await start();
  });

  /** Delivers a message and resolves with the answers, which wait for the sync of its records. */
  async function deliver(message: RaftMessage): Promise<readonly RaftMessage[]> {
    const answers = await log.exchange([{ to: log.identity, message }]);
    return answers.map((envelope) => envelope.message as RaftMessage);
  }

  function append(first: number, last: number, commitIndex = 0): RaftMessage {
    const previousIndex = first - 1;
    const base = { kind: 'append', term: 1, from: LEADER, sentAt: 0 } as const;
    const previousTerm = previousIndex === 0 ? 0 : 1;
    return { ...base, previousIndex, previousTerm, entries: entries(first, last), commitIndex };
  }

  function snapshotAt(lastIndex: number): RaftMessage {
    const rows = entries(1, lastIndex).map(({ index, command }) =>
      JSON.stringify([index, command]),
    );
    const base = { kind: 'snapshot-part', term: 1, from: LEADER, sentAt: 0 } as const;
    const position = { lastIndex, lastTerm: 1, membership: MEMBERSHIP };
    return { ...base, ...position, part: 0, rows, final: true };
  }

  async function waitForSent(kind: RaftMessage['kind']): Promise<void> {
    while (!sent.some((envelope) => envelope.message.kind === kind)) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  it('keeps acknowledged entries that follow a received snapshot after a power loss', async () => {
    await deliver(append(1, 20));
    await deliver(snapshotAt(15));
    await waitForSent('append-answer');
    disk.losePower(new SeededRandom(2));
    await start();
    expect(machine.commands).toHaveLength(15);
    const answers = await deliver(append(21, 21, 21));
    expect(answers).toMatchObject([{ kind: 'append-answer', success: true, matchIndex: 21 }]);
    expect(machine.commands.at(-1)).toBe('command 21');
  });

  it('drops entries that conflict with a received snapshot', async () => {
    await deliver({
      ...append(1, 20),
      entries: entries(1, 20).map((entry) => ({ ...entry, term: 0 })),
    } as RaftMessage);
    await deliver(snapshotAt(15));
    await waitForSent('append-answer');
    disk.losePower(new SeededRandom(2));
    await start();
    const answers = await deliver(append(21, 21, 21));
    expect(answers).toMatchObject([{ kind: 'append-answer', success: false }]);
  });

  it('ignores messages addressed to an earlier incarnation', async () => {
    const identity = log.identity;
    disk.wipe();
    await start();
    expect(log.identity).not.toBe(identity);
    await log.exchange([{ to: identity, message: append(1, 1) }]);
    expect(log.term).toBe(0);
  });
});
