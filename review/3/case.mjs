// A gateway that stands still while clients send it turns reserves their tokens when it wakes, although
// the clients have left and no server gets the turns. The programs are then told that their budget is
// spent.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase, trouble } from '../common/case.mjs';
import { TURNS, startDeployment, turnHeaders } from '../common/deployment.mjs';
import { send } from '../common/http-client.mjs';
import { sleep } from '../common/system.mjs';

const PROGRAMS = 12;
const FREEZE_MS = 3000;
/** Clients give a stream up after the longest of 2 s, 4 x 200 ms and 8 x 300 ms. */
const GIVE_UP_MS = 2400;
const CONTACT_MS = 3000;
const EVENTS = 3;
const MOST = EVENTS * 4;
/** Room for two turns. */
const BUDGET = 2 * MOST;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
  const { system, engines } = await startDeployment({ base: '127.61.3', record, onEnd });
  const hasRun = (id) => engines.some(({ runs }) => runs.some((run) => run.id === id));
  const [frozen, second, third] = system.gateways;
  let requests = 0;

  async function attempt(program, number, previous, gateway) {
    requests += 1;
    const id = `t-${program}-${number}`;
    const { host, ports } = gateway;
    const answer = await send({
      host,
      port: ports.front,
      method: 'POST',
      path: `${TURNS}2f`,
      headers: turnHeaders({ id, program, previous, budget: BUDGET, most: MOST }),
      body: `asked-${id}\n`,
      timeout: GIVE_UP_MS,
    });
    const isWhole = answer.status === 200 && answer.whole;
    record({
      event: 'turn',
      program,
      id,
      previous,
      at: gateway.name,
      status: answer.status,
      whole: answer.whole,
      error: answer.error,
      said: isWhole ? undefined : answer.body.slice(0, 200),
    });
    return { id, status: answer.status, isWhole, ran: hasRun(id) };
  }

  if (trouble) {
    record({ event: 'gateway-frozen', machine: frozen.name });
    frozen.signal('SIGSTOP');
    setTimeout(() => {
      frozen.signal('SIGCONT');
      record({ event: 'gateway-wakes', machine: frozen.name });
    }, FREEZE_MS);
  }
  const programs = Array.from({ length: PROGRAMS }, (_, index) => `p${index + 1}`);
  const outcomes = await Promise.all(
    programs.map(async (program) => {
      const first = await attempt(program, 1, undefined, frozen);
      let answered = first;
      if (!first.isWhole) {
        await sleep(100 + 300 * Math.random());
        answered = await attempt(program, 2, undefined, second);
      }
      return { program, first, answered };
    }),
  );
  await sleep(1000 + CONTACT_MS);
  const wrong = [];
  const served = [];
  for (const { program, first, answered } of outcomes) {
    if (!answered.isWhole) continue;
    const next = await attempt(program, 3, answered.id, third);
    // A turn that reached a server and did not end whole would count at its most.
    const mayBeSpent = !first.isWhole && hasRun(first.id);
    if (next.status === 402 && !mayBeSpent) wrong.push(program);
    if (next.isWhole) served.push(program);
  }
  const allowed = 5 + requests / 500;
  return {
    broken: wrong.length > allowed,
    summary: {
      programs: programs.length,
      firstTurnsSentAgain: outcomes.filter(({ first }) => !first.isWhole).length,
      firstTurnsGivenUpThatReachedAServer: outcomes.filter(
        ({ first }) => !first.isWhole && hasRun(first.id),
      ).length,
      toldThatTheBudgetIsSpent: wrong.length,
      allowed,
      secondTurnsServed: served.length,
      processesEndedByThemselves: system.machines.map(({ ownEnds }) => ownEnds),
    },
  };
});
