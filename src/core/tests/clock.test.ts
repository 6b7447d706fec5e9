import { once } from 'node:events';
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { SystemClock } from '../clock';

const TIMER_MILLISECONDS = 5;

const PAUSE_MILLISECONDS = 100;

/** Blocks the event loop, as a suspension of the process does. */
function pauseProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MILLISECONDS);
}

// Guards against a timeout cutting off an answer that arrived during a pause of the process.
describe('SystemClock', () => {
  const clock = new SystemClock();
  let server: Server;
  let client: Socket;
  let sender: Socket;

  beforeEach(async () => {
    server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = connect((server.address() as AddressInfo).port, '127.0.0.1');
    [sender] = (await once(server, 'connection')) as [Socket];
    await once(client, 'ready');
  });

  afterEach(() => {
    client.destroy();
    sender.destroy();
    server.close();
  });

  const afterTimer = (action: () => void) =>
    new Promise<void>((resolve) => {
      clock.after(TIMER_MILLISECONDS, () => {
        action();
        resolve();
      });
    });

  describe('a timer that came due during a pause', () => {
    it('runs after the data that has arrived was read', async () => {
      const events: string[] = [];
      client.on('data', () => events.push('data'));
      const timer = afterTimer(() => events.push('timer'));
      sender.write('x');
      pauseProcess();
      await timer;
      expect(events).toEqual(['data', 'timer']);
    });

    it('does not run if it is cancelled when the data is read', async () => {
      const action = jest.fn();
      const cancel = clock.after(TIMER_MILLISECONDS, action);
      const received = once(client, 'data');
      client.once('data', cancel);
      sender.write('x');
      pauseProcess();
      await received;
      await afterTimer(() => undefined);
      expect(action).not.toHaveBeenCalled();
    });
  });

  it('runs a timer that is not late, unless it is cancelled', async () => {
    const action = jest.fn();
    clock.after(TIMER_MILLISECONDS, action)();
    await afterTimer(() => undefined);
    expect(action).not.toHaveBeenCalled();
  });
});
