import { connect, createServer } from 'node:net';
import { type Address, SystemClock, createSilentLogger, formatAddress } from '../../core';
import { ManualClock } from '../../core/tests/manual-clock';
import { findFreeAddresses } from '../../local';
import { FrameDecoder, RpcServer, PeerConnections, encodeFrame } from '..';
import { PeerConnection } from '../peer-connection';
import { SilentPeer } from './silent-peer';

interface TestContract {
  readonly calls: {
    readonly double: { readonly request: number; readonly answer: number };
    readonly never: { readonly request: null; readonly answer: null };
    readonly fill: {
      readonly request: { readonly length: number; readonly byte: number };
      readonly answer: Buffer;
    };
  };
  readonly casts: { readonly note: string };
}

const LOGGER = createSilentLogger();

const PART_BYTES = 1024 * 1024;

async function startRpcServer(address: Address, note: (text: string) => void) {
  const rpcServer = new RpcServer<TestContract>({
    clock: new SystemClock(),
    address,
    logger: LOGGER,
    calls: [
      {
        double: (value) => {
          if (value < 0) throw new Error('below 0');
          return value * 2;
        },
        never: () => new Promise<null>(() => undefined),
        fill: ({ length, byte }) => Buffer.alloc(length, byte),
      },
    ],
    casts: [{ note }],
  });
  await rpcServer.start();
  return rpcServer;
}

describe('RPC between processes', () => {
  let address: Address;
  let rpcServer: RpcServer<TestContract>;
  let peers: PeerConnections<TestContract>;
  let onNote: (text: string) => void = () => undefined;

  beforeEach(async () => {
    const [free] = await findFreeAddresses(['127.0.0.1']);
    if (free === undefined) throw new Error('findFreeAddresses returned no address');
    address = free;
    rpcServer = await startRpcServer(address, (text) => {
      onNote(text);
    });
    peers = new PeerConnections<TestContract>({ clock: new SystemClock(), logger: LOGGER });
  });

  afterEach(async () => {
    peers.stop();
    await rpcServer.stop();
  });

  describe('a call', () => {
    it('resolves with its own response among concurrent calls', async () => {
      const calls = [1, 2, 3].map((value) =>
        peers.call(formatAddress(address), 'double', value, 5000),
      );
      expect(await Promise.all(calls)).toEqual([2, 4, 6]);
    });

    it('keeps the bytes of its response when later ones are received', async () => {
      const requests = [40, 300_000, 700, 5000, 100_000, 1].map((length, index) => ({
        length,
        byte: index + 1,
      }));
      const answers: Buffer[] = [];
      for (const request of requests) {
        answers.push(await peers.call(formatAddress(address), 'fill', request, 5000));
      }
      expect(answers.map((answer) => answer.length)).toEqual(requests.map(({ length }) => length));
      expect(answers.map((answer) => [...new Set(answer)])).toEqual(
        requests.map(({ byte }) => [byte]),
      );
    });

    it('rejects with `failed` if the remote handler throws', async () => {
      const call = peers.call(formatAddress(address), 'double', -1, 5000);
      await expect(call).rejects.toMatchObject({ failure: 'failed' });
    });

    it('rejects with `unreachable` if no process listens at the address', async () => {
      await rpcServer.stop();
      const call = peers.call(formatAddress(address), 'double', 1, 5000);
      await expect(call).rejects.toMatchObject({ failure: 'unreachable' });
    });

    it('rejects with `lost` at its timeout', async () => {
      const clock = new ManualClock();
      const client = new PeerConnections<TestContract>({ clock, logger: LOGGER });
      const call = client.call(formatAddress(address), 'never', null, 300);
      clock.advance(300);
      await expect(call).rejects.toMatchObject({ failure: 'lost' });
      client.stop();
    });

    it('rejects with `lost` if the server stops while the call is pending', async () => {
      await peers.call(formatAddress(address), 'double', 1, 5000);
      const call = peers.call(formatAddress(address), 'never', null, 5000);
      await rpcServer.stop();
      await expect(call).rejects.toMatchObject({ failure: 'lost' });
    });
  });

  describe('a cast', () => {
    it('reaches its handler', async () => {
      const arrived = new Promise<string>((resolve) => {
        onNote = resolve;
      });
      peers.cast(formatAddress(address), 'note', 'hello');
      expect(await arrived).toBe('hello');
    });
  });

  describe('a confirmed cast', () => {
    it('resolves once a call that was sent after it is answered, but not before', async () => {
      const target = formatAddress(address);
      const order: string[] = [];
      onNote = (text) => order.push(text);
      const earlier = peers.call(target, 'double', 1, 5000);
      const cast = peers.castConfirmed(target, 'note', 'read').then(() => order.push('confirmed'));
      await earlier;
      order.push('earlier call answered');
      await peers.call(target, 'double', 2, 5000);
      await cast;
      const [answered, confirmed] = ['earlier call answered', 'confirmed'].map((entry) =>
        order.indexOf(entry),
      );
      expect(order).toContain('read');
      expect(confirmed).toBeGreaterThan(answered ?? Infinity);
      expect(confirmed).toBeGreaterThan(order.indexOf('read'));
    });

    it('resolves without a further call, since a keepalive follows', async () => {
      const clock = new ManualClock();
      const client = new PeerConnections<TestContract>({ clock, logger: LOGGER });
      await client.call(formatAddress(address), 'double', 1, 5000);
      const cast = client.castConfirmed(formatAddress(address), 'note', 'read');
      clock.advance(1000);
      await cast;
      client.stop();
    });

    it('rejects with `unreachable` if no process listens at the address', async () => {
      await rpcServer.stop();
      const cast = peers.castConfirmed(formatAddress(address), 'note', 'lost');
      await expect(cast).rejects.toMatchObject({ failure: 'unreachable' });
    });

    it('rejects with `lost` if the connection ends before a later answer', async () => {
      await peers.call(formatAddress(address), 'double', 1, 5000);
      const cast = peers.castConfirmed(formatAddress(address), 'note', 'read or lost');
      await rpcServer.stop();
      await expect(cast).rejects.toMatchObject({ failure: 'lost' });
    });
  });

  describe('a connection', () => {
    it('sends a keepalive only after nothing was received for an interval', async () => {
      const clock = new ManualClock();
      const methods: string[] = [];
      let onMethod: () => void = () => undefined;
      const server = createServer((socket) => {
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
      if (free === undefined) throw new Error('findFreeAddresses returned no address');
      await new Promise<void>((resolve) => server.listen(free.port, free.host, resolve));
      const keepaliveClient = new PeerConnections<TestContract>({ clock, logger: LOGGER });
      await keepaliveClient.call(formatAddress(free), 'double', 1, 5000);
      clock.advance(400);
      await keepaliveClient.call(formatAddress(free), 'double', 1, 5000);
      clock.advance(100);
      await keepaliveClient.call(formatAddress(free), 'double', 1, 5000);
      const keepaliveReceived = new Promise<void>((resolve) => {
        onMethod = resolve;
      });
      clock.advance(500);
      await keepaliveReceived;
      keepaliveClient.stop();
      server.close();
      expect(methods).toEqual(['double', 'double', 'double', 'link.check']);
    });
  });

  // Guards against a healthy peer that is given up, with all that is queued for it, at the first check
  // after it was sent something for the first time in a while.
  describe('a connection without traffic for a while', () => {
    let clock: ManualClock;
    let peer: SilentPeer;
    let connection: PeerConnection;

    beforeEach(async () => {
      clock = new ManualClock();
      peer = await SilentPeer.start();
      connection = new PeerConnection({
        ...{ address: peer.address, clock, onState: () => undefined },
      });
      await connection.call('double', 1, 5000);
      const answered = connection.castConfirmed('note', 'last message for a while');
      clock.advance(500);
      await answered;
      peer.becomeSilent();
      clock.advance(36_000);
    });

    afterEach(() => {
      connection.close();
      peer.stop();
    });

    it('waits for the answer to its keepalive as long as any other connection', async () => {
      const cast = connection.castConfirmed('note', 'first message for a while');
      clock.advance(1400);
      await peer.untilCalled();
      peer.answerAll();
      await cast;
      expect(connection.connected).toBe(true);
    });

    it('is kept while its peer reads what is queued, and given up once it does not', async () => {
      const turnEventLoop = () => new Promise((resolve) => setImmediate(resolve));
      peer.stopReading();
      connection.call('double', 1, 60_000).catch(() => undefined);
      while (connection.queuedBytes < 4 * PART_BYTES) {
        connection.cast('note', Buffer.alloc(PART_BYTES));
        await turnEventLoop();
      }
      clock.advance(1000);
      const queuedBytes = connection.queuedBytes;
      peer.startReading();
      while (connection.queuedBytes >= queuedBytes) await turnEventLoop();
      peer.stopReading();
      clock.advance(1000);
      expect(connection.connected).toBe(true);
      while (connection.queuedBytes === 0) {
        connection.cast('note', Buffer.alloc(PART_BYTES));
        await turnEventLoop();
      }
      clock.advance(3500);
      expect(connection.connected).toBe(false);
    });

    it('is given up if the keepalive is not answered', async () => {
      const cast = connection.castConfirmed('note', 'never read');
      const lost = expect(cast).rejects.toMatchObject({ failure: 'lost' });
      clock.advance(2600);
      await lost;
      expect(connection.connected).toBe(false);
    });
  });

  describe('invalid frames', () => {
    it('close only their own connection', async () => {
      const socket = connect(address.port, address.host);
      const closed = new Promise((resolve) => socket.once('close', resolve));
      socket.on('error', () => undefined);
      socket.write('GET / HTTP/1.1\r\n\r\n');
      await closed;
      expect(await peers.call(formatAddress(address), 'double', 4, 5000)).toBe(8);
    });
  });

  describe('FrameDecoder', () => {
    it('decodes frames from single-byte chunks', () => {
      const frame = { kind: 'cast', method: 'note', body: Buffer.from([1, 2, 3]) } as const;
      const bytes = Buffer.concat([encodeFrame(frame), encodeFrame(frame)]);
      const decoder = new FrameDecoder();
      const frames = [...bytes].flatMap((byte) => decoder.push(Buffer.from([byte])));
      expect(frames).toEqual([frame, frame]);
    });
  });
});
