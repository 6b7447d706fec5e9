import { connect, createServer } from 'node:net';
import { type Address, SystemClock, createSilentLogger, formatAddress } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { findFreeAddresses } from '../../local';
import { FrameDecoder, LinkListener, Peers, encodeFrame } from '..';

interface TestContract {
  readonly calls: {
    readonly double: { readonly request: number; readonly answer: number };
    readonly never: { readonly request: null; readonly answer: null };
  };
  readonly casts: { readonly note: string };
}

const LOGGER = createSilentLogger();

async function startListener(address: Address, note: (text: string) => void) {
  const listener = new LinkListener<TestContract>({
    address,
    logger: LOGGER,
    calls: [
      {
        double: (value) => {
          if (value < 0) throw new Error('below 0');
          return value * 2;
        },
        never: () => new Promise<null>(() => undefined),
      },
    ],
    casts: [{ note }],
  });
  await listener.start();
  return listener;
}

describe('connections between processes', () => {
  let address: Address;
  let listener: LinkListener<TestContract>;
  let peers: Peers<TestContract>;
  let noted: (text: string) => void = () => undefined;

  beforeEach(async () => {
    const [free] = await findFreeAddresses(['127.0.0.1']);
    if (free === undefined) throw new Error('no free address');
    address = free;
    listener = await startListener(address, (text) => {
      noted(text);
    });
    peers = new Peers<TestContract>({ clock: new SystemClock(), logger: LOGGER });
  });

  afterEach(async () => {
    peers.stop();
    await listener.stop();
  });

  describe('a call', () => {
    it('gets its own answer, whatever else is under way', async () => {
      const calls = [1, 2, 3].map((value) =>
        peers.call(formatAddress(address), 'double', value, 5000),
      );
      expect(await Promise.all(calls)).toEqual([2, 4, 6]);
    });

    it('that fails there is rejected with the reason', async () => {
      const call = peers.call(formatAddress(address), 'double', -1, 5000);
      await expect(call).rejects.toMatchObject({ failure: 'failed' });
    });

    it('to nobody is known not to have been carried out', async () => {
      await listener.stop();
      const call = peers.call(formatAddress(address), 'double', 1, 5000);
      await expect(call).rejects.toMatchObject({ failure: 'unreachable' });
    });

    it('without an answer ends in time', async () => {
      const clock = new ManualClock();
      const patient = new Peers<TestContract>({ clock, logger: LOGGER });
      const call = patient.call(formatAddress(address), 'never', null, 300);
      clock.advance(300);
      await expect(call).rejects.toMatchObject({ failure: 'lost' });
      patient.stop();
    });

    it('under way when the other process ends is lost', async () => {
      await peers.call(formatAddress(address), 'double', 1, 5000);
      const call = peers.call(formatAddress(address), 'never', null, 5000);
      await listener.stop();
      await expect(call).rejects.toMatchObject({ failure: 'lost' });
    });
  });

  describe('a cast', () => {
    it('arrives', async () => {
      const arrived = new Promise<string>((resolve) => {
        noted = resolve;
      });
      peers.cast(formatAddress(address), 'note', 'hello');
      expect(await arrived).toBe('hello');
    });
  });

  describe('a connection in use', () => {
    it('is checked only once its other end has been silent for a while', async () => {
      const clock = new ManualClock();
      const methods: string[] = [];
      let onMethod: () => void = () => undefined;
      const answering = createServer((socket) => {
        const decoder = new FrameDecoder();
        socket.on('error', () => undefined);
        socket.on('data', (chunk) => {
          for (const frame of decoder.push(chunk)) {
            if (frame.kind !== 'call') continue;
            methods.push(frame.method);
            socket.write(encodeFrame({ kind: 'answer', id: frame.id, body: 0 }));
            onMethod();
          }
        });
      });
      const [free] = await findFreeAddresses(['127.0.0.1']);
      if (free === undefined) throw new Error('no free address');
      await new Promise<void>((resolve) => answering.listen(free.port, free.host, resolve));
      const checking = new Peers<TestContract>({ clock, logger: LOGGER });
      await checking.call(formatAddress(free), 'double', 1, 5000);
      clock.advance(400);
      await checking.call(formatAddress(free), 'double', 1, 5000);
      clock.advance(100);
      await checking.call(formatAddress(free), 'double', 1, 5000);
      const checked = new Promise<void>((resolve) => {
        onMethod = resolve;
      });
      clock.advance(500);
      await checked;
      checking.stop();
      answering.close();
      expect(methods).toEqual(['double', 'double', 'double', 'link.check']);
    });
  });

  describe('bytes that are no messages', () => {
    it('end their connection and nothing else', async () => {
      const socket = connect(address.port, address.host);
      const closed = new Promise((resolve) => socket.once('close', resolve));
      socket.on('error', () => undefined);
      socket.write('GET / HTTP/1.1\r\n\r\n');
      await closed;
      expect(await peers.call(formatAddress(address), 'double', 4, 5000)).toBe(8);
    });
  });

  describe('frames', () => {
    it('come out whole, however their bytes are cut', () => {
      const frame = { kind: 'cast', method: 'note', body: Buffer.from([1, 2, 3]) } as const;
      const bytes = Buffer.concat([encodeFrame(frame), encodeFrame(frame)]);
      const decoder = new FrameDecoder();
      const frames = [...bytes].flatMap((byte) => decoder.push(Buffer.from([byte])));
      expect(frames).toEqual([frame, frame]);
    });
  });
});
