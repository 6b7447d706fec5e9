// A small deployment like that of the photographers' or the carriers' site: three gateways with a
// disk and three stores in three zones, engines and plain servers.
import { InstanceList, Server, signed, streamEvents } from './servers.mjs';
import { System, sleep } from './system.mjs';

export const HOST = 'ficu95.example';
export const TURNS = '/lohu930/';
export const CALLS = '/pule252/';
export const ONCE = '/pufi791/';

export const LIMITS = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 4194304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15000,
};

export function configuration(version, { retentionS = 60, limits = LIMITS, routes = [] } = {}) {
  const route = (name, pathPrefix, fields) => ({
    name,
    hostname: HOST,
    pathPrefix,
    priority: 1,
    targetLatencyMs: 400,
    timeoutMs: 4000,
    ...fields,
  });
  return {
    version,
    routes: [
      route('r-turns', TURNS, {
        kind: 'streaming',
        targetLatencyMs: 200,
        service: 'huvo11a',
        maxAttempts: 2,
        retains: true,
        retentionS,
        sticky: true,
        resumable: false,
        gapAimMs: 300,
      }),
      route('r-calls', CALLS, { kind: 'idempotent', service: 'wuno96b', maxAttempts: 2 }),
      route('r-once', ONCE, { kind: 'non_idempotent', service: 'wuno96b', maxAttempts: 1 }),
      ...routes,
    ],
    services: [
      {
        name: 'huvo11a',
        healthPath: '/health',
        maxConns: 390,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kvCapacity: 342837,
          kvTokenBytes: 18432,
          linkMbps: 370000.0,
          moves: true,
          backups: true,
          tokensPerEvent: 4,
          most: 12,
          pinMs: 4000.0,
          holdMs: 2000.0,
          handle_s: 5.0,
          models: [{ name: 'm' }],
        },
      },
      { name: 'wuno96b', healthPath: '/health', maxConns: 130, protocol: 'h1', tls: false },
    ],
    limits,
  };
}

/** Starts servers, list and system with its first configuration; all of it ends with the case. */
export async function startDeployment({
  base,
  record,
  onEnd,
  engineAnswer = streamEvents(),
  plainAnswer = (run, _request, response) => {
    response.writeHead(200, signed(run)).end(`done ${run.id}`);
  },
  configure = {},
  system: systemOptions = {},
}) {
  const servers = [];
  const addServers = (count, service, first, slots, answer) => {
    for (let index = 0; index < count; index += 1) {
      servers.push(
        new Server({
          id: `i-${service}-${index + 1}`,
          service,
          host: `${base}.${first + index}`,
          slots,
          zone: `zone-${(index % 3) + 1}`,
          answer,
          record,
        }),
      );
    }
  };
  addServers(3, 'huvo11a', 101, 64, engineAnswer);
  addServers(3, 'wuno96b', 151, 6, plainAnswer);
  for (const server of servers) await server.start();
  const list = new InstanceList(`${base}.200`, servers);
  await list.start();
  onEnd(() => {
    list.stop();
    for (const server of servers) server.stop();
  });
  const system = await System.create({
    base,
    record,
    listAddress: list.address,
    ...systemOptions,
  });
  onEnd(() => system.stop());
  system.start();
  await system.configure(configuration(1, configure));
  await system.untilReady();
  await sleep(1500);
  record({ event: 'ready' });
  const engines = servers.filter(({ service }) => service === 'huvo11a');
  const plain = servers.filter(({ service }) => service === 'wuno96b');
  return { system, engines, plain };
}

/** Requests of one program, as `Agent programs` of the protocol describes them. */
export function turnHeaders({
  id,
  program,
  previous,
  budget,
  promptTokens = 100,
  most,
  waitMs = 4000,
  programMs = 60_000,
}) {
  return {
    host: HOST,
    'x-martenbay-request-id': id,
    'x-martenbay-program-id': program,
    'x-martenbay-session-id': `s-${program}`,
    'x-martenbay-program-deadline-ms': String(programMs),
    'x-martenbay-token-budget': String(budget),
    'x-martenbay-token-usage': `${promptTokens},${most}`,
    'x-martenbay-model': 'm',
    'x-martenbay-prompt-prefix': `${program}:${promptTokens}`,
    'x-martenbay-deadline-ms': String(waitMs),
    ...(previous === undefined ? {} : { 'x-martenbay-previous-turn': previous }),
  };
}
