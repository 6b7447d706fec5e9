// Conversations begin in one program and go on in another one, turn after turn within `retentionS`.
// When the first programs have expired, one store loses its disk. Once it is back and the times of
// the pages have passed, each conversation goes on by way of a gateway in another zone.
import { rmSync, mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { Engine, outputOf } from '../common-2/engine.mjs';
import { configure, InstanceList, send, untilReady } from '../common-2/http.mjs';
import { runCase } from '../common-2/record.mjs';
import { sleep, System } from '../common-2/system.mjs';

const RETENTION_SECONDS = 6;

const CONVERSATIONS = 40;

/** Pause of a conversation after a turn. */
const PAUSE_MILLISECONDS = 2300;

/** From the end of the first programs to the loss of the disk. */
const CONTINUED_MILLISECONDS = 79_000;

/** Time for which the store is down. */
const DOWN_MILLISECONDS = 1000;

/** `catchUpS` and `contactMs` of the deployment songhong-checkin. */
const CATCH_UP_MILLISECONDS = 4300;
const CONTACT_MILLISECONDS = 3000;

/** A turn is sent three times, each with one retry. */
const SENDS = 3;
const ATTEMPTS = 2;

const HOST_NAME = 'talk.example';

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...{ name: 'talk', hostname: HOST_NAME, pathPrefix: '/talk/', kind: 'streaming' },
      ...{ timeoutMs: 5000, targetLatencyMs: 200, priority: 0, service: 'models', maxAttempts: 2 },
      ...{ retains: true, retentionS: RETENTION_SECONDS, sticky: true, resumable: false },
      gapAimMs: 400,
    },
  ],
  services: [
    {
      ...{ name: 'models', healthPath: '/health', maxConns: 390, protocol: 'h1', tls: false },
      engine: {
        ...{ slots: 64, kvCapacity: 211_374, kvTokenBytes: 18_432, linkMbps: 370_000 },
        ...{ moves: true, backups: true, tokensPerEvent: 3, most: 12, pinMs: 4000, holdMs: 2000 },
        ...{ handle_s: 5, models: [{ name: 'm' }] },
      },
    },
  ],
  limits: {
    ...{ maxHeaderBytes: 16384, maxBodyBytes: 4194304 },
    ...{ headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  },
};

await runCase(import.meta.dirname, async ({ note, onEnd, hasTrouble }) => {
  const engines = ['e-1', 'e-2', 'e-3'].map((id) => new Engine({ id, service: 'models' }));
  for (const engine of engines) {
    await engine.start();
    onEnd(() => engine.stop());
    engine.onRun = ({ id }) => note('ran', { server: engine.id, id });
  }
  const bodies = () => new Map(engines.flatMap(({ ran }) => ran.map(({ id, body }) => [id, body])));
  const list = new InstanceList();
  list.entries = () =>
    engines.map(({ id, service, address }, index) => ({
      ...{ id, service, address, zone: `zone-${index + 1}`, version: 'v1', slots: 64 },
      ...{ state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{ name: 'm', version: 1 }] },
    }));
  await list.start();
  onEnd(() => list.stop());

  const system = new System(note);
  onEnd(() => system.stop());
  await system.create({ listAddress: list.address });
  system.start();
  await configure(system.gateways, CONFIGURATION, note);
  await untilReady(system.gateways);
  system.endFirstStart();
  await sleep(1500);

  const run = Math.random().toString(16).slice(2, 8);
  const aimAt = Date.now() + 600_000;
  let lastId = 0;

  /** One client attempt of a turn. */
  const attempt = async (gateway, conversation, program) => {
    lastId += 1;
    const id = `${run}${String(lastId).padStart(6, '0')}`;
    const input = `input of ${id};`;
    const headers = {
      ...{ host: HOST_NAME, 'X-Martenbay-Request-Id': id, 'X-Martenbay-Deadline-Ms': '5000' },
      ...{ 'X-Martenbay-Program-Id': program, 'X-Martenbay-Session-Id': `session-${program}` },
      'X-Martenbay-Program-Deadline-Ms': String(aimAt - Date.now()),
      ...{ 'X-Martenbay-Token-Budget': '100000', 'X-Martenbay-Token-Usage': '600,9' },
      ...{ 'X-Martenbay-Model': 'm', 'X-Martenbay-Prompt-Prefix': `${run}:512,${id}:88` },
    };
    if (conversation.last !== undefined) headers['X-Martenbay-Previous-Turn'] = conversation.last;
    const { host, callers: port } = gateway;
    const call = { host, port, method: 'POST', path: '/talk/1', headers, body: input };
    const answer = await send(call);
    const isWhole = answer.status === 200 && !answer.cut;
    note('turn', {
      ...{ id, program, previous: conversation.last, gateway: gateway.name },
      ...{ sentAfter: conversation.endedAt && answer.sentAt - conversation.endedAt },
      ...{ status: answer.status, cut: answer.cut, text: isWhole ? undefined : answer.text },
    });
    if (isWhole) {
      conversation.expected = `${conversation.expected}${input}${outputOf(id)}`;
      conversation.last = id;
      conversation.endedAt = answer.endedAt;
    }
    return { id, isWhole, retryAfter: Number(answer.headers?.['retry-after'] ?? 0) * 1000 };
  };

  /** A turn with the attempts that a client makes. */
  const turn = async (gateway, conversation, program) => {
    const ids = [];
    for (let sending = 0; sending < SENDS; sending += 1) {
      for (let retry = 0; retry < ATTEMPTS; retry += 1) {
        const { id, isWhole, retryAfter } = await attempt(gateway, conversation, program);
        ids.push(id);
        if (isWhole) return { ids, isWhole };
        await sleep(Math.max(100, retryAfter));
      }
    }
    return { ids, isWhole: false };
  };

  const [first, second, third] = system.gateways;
  const conversations = Array.from({ length: CONVERSATIONS }, (_, index) => ({
    ...{ index, expected: '', last: undefined, endedAt: undefined, isOver: false },
  }));
  await Promise.all(
    conversations.map(async (conversation) => {
      const program = `${run}-first-${conversation.index}`;
      await turn(first, conversation, program);
      await turn(first, conversation, program);
    }),
  );
  if (conversations.some(({ last }) => last === undefined)) throw new Error('no first turns');
  note('first-programs-over');

  let goesOn = true;
  const loops = conversations.map(async (conversation) => {
    const program = `${run}-second-${conversation.index}`;
    await sleep(Math.random() * PAUSE_MILLISECONDS);
    for (let count = 0; goesOn; count += 1) {
      const { isWhole } = await turn(count % 2 === 0 ? first : second, conversation, program);
      if (!isWhole) {
        conversation.isOver = true;
        return;
      }
      if (goesOn) await sleep(PAUSE_MILLISECONDS);
    }
  });
  await sleep(CONTINUED_MILLISECONDS);
  const [store] = system.stores;
  if (hasTrouble) {
    note('disk-lost', { store: store.name });
    await store.kill();
    const folder = join(system.folder, store.name);
    rmSync(folder, { recursive: true });
    mkdirSync(folder);
    await sleep(DOWN_MILLISECONDS);
    store.start();
  }
  await sleep(CATCH_UP_MILLISECONDS + CONTACT_MILLISECONDS + 1000);
  goesOn = false;
  await Promise.all(loops);

  const controls = await Promise.all(
    Array.from({ length: 10 }, (_, index) =>
      turn(third, { expected: '', last: undefined }, `${run}-control-${index}`),
    ),
  );
  const served = controls.filter(({ isWhole }) => isWhole).length;
  if (served < 9) throw new Error(`only ${served} of 10 first turns were served`);

  const lost = [];
  const altered = [];
  await Promise.all(
    conversations.map(async (conversation) => {
      const { index, isOver, expected, endedAt } = conversation;
      if (isOver) return;
      const { ids, isWhole } = await turn(third, conversation, `${run}-second-${index}`);
      const received = ids.map((id) => [id, bodies().get(id)]).filter(([, body]) => body);
      const isRetained = Date.now() < endedAt + RETENTION_SECONDS * 1000;
      if (received.some(([id, body]) => body !== `${expected}input of ${id};`)) altered.push(index);
      if (!isWhole && received.length === 0 && isRetained) lost.push(index);
    }),
  );
  const judged = conversations.filter(({ isOver }) => !isOver).length;
  note('counted', { judged, served, lost, altered });
  if (judged === 0) throw new Error('no conversation went on to the end');
  if (altered.length > 0) return `UNASKED: ${altered.length} turns ran on another history`;
  if (lost.length === 0) return undefined;
  return `LOST: of ${judged} conversations whose last turn ended less than ${RETENTION_SECONDS} s before, ${lost.length} reached no server in ${SENDS * ATTEMPTS} tries`;
});
