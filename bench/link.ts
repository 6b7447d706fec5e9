import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  type TRPCLink,
  createTRPCClient,
  createWSClient,
  httpBatchLink,
  httpLink,
  wsLink,
} from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import WebSocket, { WebSocketServer } from 'ws';
import * as z from 'zod';
import { ControlSocket, socketLink } from '../src/protocol/socket';
import { printLine, roundToThousandths } from './measurement';

const t = initTRPC.create();
const router = t.router({
  ping: t.procedure
    .input(z.object({ number: z.number() }))
    .mutation(({ input }) => ({ number: input.number + 1 })),
});
type PingRouter = typeof router;

const WARM_UP_CALLS = 300;

/** Processor time and latency of one tRPC call over each link; calls are sequential, both ends in this process. */
export async function benchLink(calls: number): Promise<void> {
  const server = createServer(createHTTPHandler({ router }));
  applyWSSHandler({ wss: new WebSocketServer({ server }), router });
  await listen(server);
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const socketUrl = `ws://127.0.0.1:${port}`;
  const client = createWSClient({
    url: socketUrl,
    WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
  });
  const socket = new ControlSocket(socketUrl, 'none');
  const links: readonly (readonly [string, TRPCLink<PingRouter>])[] = [
    ['httpBatchLink', httpBatchLink({ url })],
    ['httpLink', httpLink({ url })],
    ['wsLink', wsLink({ client })],
    ['own socket link', socketLink(socket)],
  ];
  const results: object[] = [];
  for (const [name, link] of links) results.push(await measure(name, link, calls));
  socket.close();
  await client.close();
  server.close();
  server.closeAllConnections();
  printLine({ bench: 'link', calls, results });
}

async function measure(name: string, link: TRPCLink<PingRouter>, calls: number): Promise<object> {
  const client = createTRPCClient<PingRouter>({ links: [link] });
  const run = async (count: number) => {
    for (let number = 0; number < count; number += 1) await client.ping.mutate({ number });
  };
  await run(WARM_UP_CALLS);
  const startedAt = performance.now();
  const before = process.cpuUsage();
  await run(calls);
  const usage = process.cpuUsage(before);
  return {
    link: name,
    processorMilliseconds: roundToThousandths((usage.user + usage.system) / calls / 1000),
    latencyMilliseconds: roundToThousandths((performance.now() - startedAt) / calls),
  };
}

function listen(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
}
