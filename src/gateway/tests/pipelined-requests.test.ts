import { RawCaller } from './raw-caller';
import { startServer } from './server-fixture';

const HELD_REQUEST = 'GET /a HTTP/1.1\r\nhost: h\r\n\r\n';

const REFUSED_REQUEST = 'GET /a HTTP/1.1\r\nhost: unknown\r\n\r\n';

const SETTLING_ROUNDS = 2000;

/** Lets the server read what has arrived. */
async function waitForInput(): Promise<void> {
  for (let round = 0; round < SETTLING_ROUNDS; round += 1) await new Promise(setImmediate);
}

// Guards against a drain that waits for a response that can never be written.
describe('two requests on one connection, sent without a wait for the first response', () => {
  it('are no longer in flight once the caller has closed the connection', async () => {
    const { address, server, forwarder } = await startServer();
    const caller = await RawCaller.connect(address);
    await caller.send(HELD_REQUEST + REFUSED_REQUEST);
    await forwarder.arrived;
    caller.close();
    await caller.closed;
    await waitForInput();
    forwarder.release();
    let isIdle = false;
    void server.whenIdle().then(() => {
      isIdle = true;
    });
    await waitForInput();
    server.stop();
    expect(isIdle).toBe(true);
  });
});
