import type { RandomSource } from '../../core';
import type { ConfirmingRpcClient } from '../../rpc';
import { confirmOrReject } from '../../rpc/tests/simulated-confirmation';
import type { SystemContract } from '../../nodes/contract';
import type { EventClock } from './event-clock';
import type { SimulatedProcess } from './simulated-process';

/** Greatest latency of a message over a sound link. */
const LATENCY_MILLISECONDS = 4;

/** Fraction of the messages sent into a cut that arrive after it is healed; the others are lost. */
const HELD_FRACTION = 0.5;

type CallHandler = (request: unknown) => unknown;

export interface Endpoint {
  readonly process: SimulatedProcess;
  readonly calls: Readonly<Record<string, CallHandler>>;
  readonly casts: Readonly<Record<string, (body: unknown) => void>>;
}

export interface Cut {
  readonly separates: (left: string, right: string) => boolean;
}

interface Message {
  readonly from: SimulatedProcess;
  readonly to: SimulatedProcess;
  readonly onDelivery: () => void;
}

/** Links between processes: each delivers in order, and cuts hold messages up or lose them. */
export class SimulatedNetwork {
  readonly #clock: EventClock;
  readonly #random: RandomSource;
  readonly #endpoints = new Map<string, Endpoint>();
  readonly #cuts = new Set<Cut>();
  /** Additional latency by host; milliseconds. */
  readonly #slowHosts = new Map<string, number>();
  /** Time of the last delivery by link. */
  readonly #deliveredAt = new Map<string, number>();
  #held: Message[] = [];

  constructor(clock: EventClock, random: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  attach(endpoint: Endpoint): void {
    this.#endpoints.set(endpoint.process.address, endpoint);
  }

  cut(cut: Cut): void {
    this.#cuts.add(cut);
  }

  heal(cut: Cut): void {
    this.#cuts.delete(cut);
    const held = this.#held;
    this.#held = [];
    for (const message of held) {
      if (message.from.isRunning) this.#transmit(message);
    }
  }

  setLatency(host: string, milliseconds: number): void {
    this.#slowHosts.set(host, milliseconds);
  }

  isConnected(left: string, right: string): boolean {
    return ![...this.#cuts].some(({ separates }) => separates(left, right));
  }

  clientOf(process: SimulatedProcess): ConfirmingRpcClient<SystemContract> {
    const call = (to: string, name: string, request: unknown, milliseconds: number) =>
      new Promise<unknown>((resolve, reject) => {
        const cancelTimeout = process.clock.after(milliseconds, () => {
          reject(new Error(`${name} to ${to} timed out`));
        });
        this.#send(process, to, (endpoint) => {
          const answer = Promise.resolve(endpoint.calls[name]?.(request));
          const respond = (settle: () => void) => {
            this.#reply(endpoint.process, process, () => {
              cancelTimeout();
              settle();
            });
          };
          answer.then(
            (value) => {
              respond(() => {
                resolve(value);
              });
            },
            (error: unknown) => {
              respond(() => {
                reject(error instanceof Error ? error : new Error(String(error)));
              });
            },
          );
        });
      });
    return {
      call: call as ConfirmingRpcClient<SystemContract>['call'],
      cast: (to, name, body) => {
        this.#send(process, to, ({ casts }) => casts[name]?.(body));
      },
      castConfirmed: (to, name, body) =>
        confirmOrReject(process.clock, (confirm) => {
          this.#send(process, to, ({ casts }) => {
            casts[name]?.(body);
            confirm();
          });
        }),
      isConnected: (address) => {
        const endpoint = this.#endpoints.get(address);
        return endpoint !== undefined && this.isConnected(process.name, endpoint.process.name);
      },
    };
  }

  #send(from: SimulatedProcess, address: string, onDelivery: (endpoint: Endpoint) => void): void {
    from.run(() => {
      const endpoint = this.#endpoints.get(address);
      if (endpoint === undefined) return;
      const deliver = () => {
        onDelivery(endpoint);
      };
      this.#transmit({ from, to: endpoint.process, onDelivery: deliver });
    });
  }

  #reply(from: SimulatedProcess, to: SimulatedProcess, onDelivery: () => void): void {
    from.run(() => {
      this.#transmit({ from, to, onDelivery });
    });
  }

  #transmit(message: Message): void {
    const { from, to } = message;
    const link = `${from.name} ${to.name}`;
    const extra = Math.max(this.#latencyOf(from.name), this.#latencyOf(to.name));
    const latency = extra + this.#random.fraction() * LATENCY_MILLISECONDS;
    const at = Math.max(this.#deliveredAt.get(link) ?? 0, this.#clock.monotonic() + latency);
    this.#deliveredAt.set(link, at);
    this.#clock.after(at - this.#clock.monotonic(), () => {
      this.#deliver(message);
    });
  }

  #deliver(message: Message): void {
    const { from, to, onDelivery } = message;
    if (this.isConnected(from.name, to.name)) to.run(onDelivery);
    else if (this.#random.fraction() < HELD_FRACTION) this.#held.push(message);
  }

  #latencyOf(host: string): number {
    return this.#slowHosts.get(host) ?? 0;
  }
}
