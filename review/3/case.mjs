// A configuration that raises maxHeaderBytes does not hold on connections that were open before it.
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase, trouble } from '../common/case.mjs';
import {
  LIMITS,
  TURNS,
  configuration,
  startDeployment,
  turnHeaders,
} from '../common/deployment.mjs';
import { send } from '../common/http-client.mjs';
import { sleep } from '../common/system.mjs';

const CONFIG_APPLY_MS = 2000;
const CONTACT_MS = 3000;
const RAISED = { ...LIMITS, maxHeaderBytes: 32_768 };
/** About 20 KB of X-Martenbay-Prompt-Prefix. */
const PROMPT_PARTS = 1500;
const CLIENTS = 12;
const MOST = 12;

/** Parts of a prompt, each as ID:TOKENS with the ID in hex. */
function promptParts(client, count) {
  const idOf = (part) => (client * 100_000 + part).toString(16).padStart(8, '0');
  return Array.from({ length: count }, (_, part) => `${idOf(part)}:16`).join(',');
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
  // Without the change, the limit is high from the start.
  const { system, engines } = await startDeployment({
    base: '127.61.3',
    record,
    onEnd,
    configure: { limits: trouble ? LIMITS : RAISED },
  });
  const hasRun = (id) => engines.some(({ runs }) => runs.some((run) => run.id === id));

  async function turn({ number, gateway }, attempt, parts, agent) {
    const id = `t-${number}-${attempt}`;
    const { host, ports } = gateway;
    const prompt = promptParts(number, parts);
    const answer = await send({
      host,
      port: ports.front,
      method: 'POST',
      path: `${TURNS}2f`,
      headers: {
        ...turnHeaders({
          id,
          program: `p-${number}-${attempt}`,
          budget: 10 * MOST,
          most: MOST,
          promptTokens: 16 * parts,
        }),
        'x-martenbay-prompt-prefix': prompt,
      },
      body: `asked-${id}\n`,
      agent,
      timeout: 4000,
    });
    const { status, whole, error } = answer;
    const kept = agent !== false;
    const promptBytes = prompt.length;
    record({
      event: 'turn',
      ...{ id, at: gateway.name, kept, promptBytes, status, whole, error, ran: hasRun(id) },
    });
    return status;
  }

  const clients = Array.from({ length: CLIENTS }, (_, index) => ({
    number: index + 1,
    gateway: system.gateways[index % system.gateways.length],
    kept: new Agent({ keepAlive: true, maxSockets: 1 }),
  }));
  onEnd(() => {
    for (const { kept } of clients) kept.destroy();
  });
  const before = await Promise.all(clients.map((client) => turn(client, 1, 3, client.kept)));
  if (trouble) await system.configure(configuration(2, { limits: RAISED }));
  await sleep(CONFIG_APPLY_MS + CONTACT_MS);
  const onKept = await Promise.all(
    clients.map((client) => turn(client, 2, PROMPT_PARTS, client.kept)),
  );
  const onNew = await Promise.all(clients.map((client) => turn(client, 3, PROMPT_PARTS, false)));
  const count = (statuses, status) => statuses.filter((other) => other === status).length;
  return {
    broken: count(onKept, 431) > 0,
    summary: {
      keptConnections: CLIENTS,
      servedBefore: count(before, 200),
      servedOnKeptConnections: count(onKept, 200),
      refusedWith431OnKeptConnections: count(onKept, 431),
      servedOnNewConnections: count(onNew, 200),
      processesEndedByThemselves: system.machines.map(({ ownEnds }) => ownEnds),
    },
  };
});
