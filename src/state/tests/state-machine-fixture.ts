import { type Configuration, parseConfiguration } from '../../configuration';
import { digestPrefixes } from '../../core';
import { localConfigurationFiles } from '../../local/configuration';
import type { BeginStep, Command, CommandResults } from '..';
import {
  type BeginDecision,
  type CompleteDecision,
  ProgramStateMachine,
  contentHandlesOf,
  toBeginOutcome,
  toCompleteOutcome,
  resolveKind,
} from '..';
import { MemoryContentStore } from './memory-content-store';

const sidecar = { host: '127.0.0.1', port: 7000 };
const target = { name: 'engine-a', availabilityZone: 'zone-a', sidecar, address: sidecar };

export const TEAM = 'counter';

/** Configuration files with the given budget. */
export function filesWithBudget(tokens: number, calls: number) {
  return localConfigurationFiles({
    engines: [target],
    plain: [{ ...target, name: 'plain-a' }],
  }).map((file) => ({
    ...file,
    text: file.text
      .replace('tokens = 2000000', `tokens = ${tokens}`)
      .replace('calls = 100000', `calls = ${calls}`),
  }));
}

/** Applies commands to a state machine, as the replicated log does. */
export class StateMachineFixture {
  readonly contents = new MemoryContentStore();
  readonly machine = new ProgramStateMachine(this.contents);
  readonly #configuration: Configuration;
  #index = 0;
  #attempts = 0;
  now = 1_000_000;

  constructor(tokens = 10_000, calls = 10) {
    this.#configuration = parseConfiguration(filesWithBudget(tokens, calls));
  }

  apply<K extends Command['kind']>(command: Extract<Command, { kind: K }>): CommandResults[K] {
    this.#index += 1;
    return this.machine.apply(JSON.stringify(command), this.#index) as CommandResults[K];
  }

  create(id: string, parent?: string) {
    const input = {
      id,
      team: TEAM,
      configurationNumber: 1,
      ...(parent === undefined ? {} : { parent }),
    };
    const kindInForce = resolveKind(this.#configuration, input);
    if (kindInForce.outcome !== 'kind') throw new Error(kindInForce.message);
    return this.apply({ kind: 'create-program', at: this.now, input, kindInForce });
  }

  /** Input of a turn with one new message; `extra` overrides its fields. */
  step(program: string, sequence: number, extra: Partial<BeginStep> = {}): BeginStep {
    this.#attempts += 1;
    return {
      program,
      team: TEAM,
      sequence,
      attempt: `attempt-${this.#attempts}`,
      entry: 'entry-1/a',
      service: 'assistant',
      requestDigest: `request-${sequence}`,
      history: { kind: 'append' },
      newTokens: 100,
      outputTokens: 100,
      ...extra,
    };
  }

  begin(input: BeginStep, displacedAttempt?: string) {
    const command = { kind: 'begin-step', at: this.now, input } as const;
    const decision = this.apply(
      displacedAttempt === undefined ? command : { ...command, displaces: displacedAttempt },
    );
    return toBeginOutcome(decision, this.#textsOf(decision));
  }

  complete(step: BeginStep, text: string, used = { prompt: 50, completion: 10 }) {
    const question = { role: 'user', content: `${text}?` };
    const message = { role: 'assistant', content: text };
    const decision = this.apply({
      kind: 'complete-step',
      at: this.now,
      input: {
        program: step.program,
        sequence: step.sequence ?? 0,
        attempt: step.attempt,
        answer: {
          kind: 'turn',
          id: 'answer',
          model: 'stand-in',
          created: 1,
          message,
          finishReason: 'stop',
          usage: { promptTokens: used.prompt, completionTokens: used.completion, cachedTokens: 0 },
        },
        messages: [question, message],
        usage: { promptTokens: used.prompt, completionTokens: used.completion, cachedTokens: 0 },
        target: 'engine-a',
        end: false,
      },
    });
    return toCompleteOutcome(decision, this.#textsOf(decision));
  }

  abandon(step: BeginStep, holders: readonly string[]) {
    const { program, sequence = 0, attempt } = step;
    const input = { program, sequence, attempt, spent: true, holders };
    return this.apply({ kind: 'abandon-step', at: this.now, input });
  }

  /** History that an entry gets when it begins the step `sequence`; empty unless the step runs. */
  history(program: string, sequence: number) {
    const outcome = this.begin(this.step(program, sequence));
    return outcome.outcome === 'run' ? outcome.history : [];
  }

  #textsOf(decision: BeginDecision | CompleteDecision): readonly string[] {
    return contentHandlesOf(decision).map((handle) => this.contents.read(handle));
  }

  static wholeHistory(...contents: readonly (readonly [string, string])[]): BeginStep['history'] {
    const messages = contents.map(([role, content]) => ({ role, content }));
    return { kind: 'whole', digests: digestPrefixes(messages) };
  }

  spending(program: string) {
    const record = this.machine.tables.programs.get(program);
    if (record === undefined) throw new Error(`No program "${program}"`);
    return this.machine.tables.spendingOf(record);
  }
}
