import { type CrowdMember, head, sendCrowd } from './crowd';
import { BODY_BYTES, CrowdSystem } from './crowd-system';
import { expectSurvival } from './expectations';

const ROUNDS = 6;

const TURNS = 60;

/** Size of a turn that a conversation may well have; 3,000 of them take 93 MB. */
const ORDINARY_BYTES = 31 * 1024;

const ORDINARY_ROUNDS = 50;

// Guards against turns inside the limits that end a store, which keeps them for their retention.
describe('whole turns at the limit, again and again', () => {
  let system: CrowdSystem;

  beforeEach(async () => {
    system = await CrowdSystem.start();
  });

  afterEach(() => system.stop());

  it.each([
    ['of plain text', 'x'],
    ['of bytes that are escaped on disk', '\u0001'],
  ])('are kept or refused, %s', async (_name, byte) => {
    const body = Buffer.alloc(BODY_BYTES, byte);
    const send = async (client: CrowdMember) => {
      const headers = [`content-length: ${BODY_BYTES}`, 'connection: close'];
      await client.write(head({ path: '/turns/a', headers }));
      await client.write(body);
    };
    const address = system.addresses.callers;
    for (let round = 0; round < ROUNDS; round += 1) {
      const members = await sendCrowd({ address, count: TURNS, send });
      await Promise.all(members.map(({ closed }) => closed));
    }
    await expectSurvival(system);
  });

  it('are kept or refused, of ordinary size, as many as the memory holds and more', async () => {
    const body = Buffer.alloc(ORDINARY_BYTES, 'x');
    const send = async (client: CrowdMember) => {
      const headers = [`content-length: ${ORDINARY_BYTES}`, 'connection: close'];
      await client.write(head({ path: '/turns/a', headers }));
      await client.write(body);
    };
    const address = system.addresses.callers;
    for (let round = 0; round < ORDINARY_ROUNDS; round += 1) {
      const members = await sendCrowd({ address, count: TURNS, send });
      await Promise.all(members.map(({ closed }) => closed));
    }
    await expectSurvival(system);
  });
});
