import type { Clock, RandomSource } from '../../core';
import { type ConfirmingRpcClient, type RpcContract, RpcError } from '../../rpc';
import { confirmOrReject } from '../../rpc/tests/simulated-confirmation';
import { SimulatedLink } from './simulated-link';

/** The handlers of one run of a process. */
export interface SimulatedServer {
  readonly host: string;
  /** A suspended process receives its messages once it resumes. */
  readonly isSuspended: boolean;
  readonly calls: Readonly<Record<string, ((request: unknown) => unknown) | undefined>>;
  readonly casts: Readonly<Record<string, ((body: unknown) => void) | undefined>>;
}

export interface SimulatedCaller {
  readonly host: string;
  readonly clock: Clock;
  readonly isRunning: boolean;
}

/** Whether messages to a host, from it, or both are lost. */
export type CutDirection = 'in' | 'out' | 'both';

interface Message {
  readonly from: string;
  readonly address: string;
  readonly deliverAt: number;
  readonly deliver: (server: SimulatedServer) => void;
}

const MINIMUM_DELAY_MILLISECONDS = 1;
const MAXIMUM_DELAY_MILLISECONDS = 30;

/**
 * Delivers calls and casts with random delays, out of order; drops them at blocked links. With a
 * bandwidth, each host has a link for what it sends, and connections keep the order of messages.
 */
export class SimulatedNetwork {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #servers = new Map<string, SimulatedServer>();
  /** Number of cuts by link. */
  readonly #cuts = new Map<string, number>();
  readonly #links = new Map<string, SimulatedLink>();
  readonly #bytesPerMillisecond: number;
  #messages: Message[] = [];
  lossFraction = 0;

  constructor(clock: Clock, random: RandomSource, bytesPerMillisecond = Infinity) {
    this.#clock = clock;
    this.#random = random;
    this.#bytesPerMillisecond = bytesPerMillisecond;
  }

  /** Bytes that a host has sent, if the network has a bandwidth. */
  sentBytesOf(host: string): number {
    return this.#links.get(host)?.sentBytes ?? 0;
  }

  listen(address: string, server: SimulatedServer): void {
    this.#servers.set(address, server);
  }

  close(address: string, server: SimulatedServer): void {
    if (this.#servers.get(address) === server) this.#servers.delete(address);
  }

  /** Blocks the links between two groups of hosts; returns the action that ends the cut. */
  separate(
    hosts: readonly string[],
    others: readonly string[],
    direction: CutDirection,
  ): () => void {
    const links = hosts.flatMap((host) =>
      others.flatMap((other) => [
        ...(direction === 'in' ? [] : [`${host}>${other}`]),
        ...(direction === 'out' ? [] : [`${other}>${host}`]),
      ]),
    );
    this.#addCuts(links, 1);
    return () => {
      this.#addCuts(links, -1);
    };
  }

  #addCuts(links: readonly string[], change: 1 | -1): void {
    for (const link of links) this.#cuts.set(link, (this.#cuts.get(link) ?? 0) + change);
  }

  deliverDue(): void {
    const now = this.#clock.monotonic();
    const due = this.#messages.filter(({ deliverAt }) => deliverAt <= now);
    this.#messages = this.#messages.filter(({ deliverAt }) => deliverAt > now);
    due.sort((left, right) => left.deliverAt - right.deliverAt);
    for (const message of due) this.#deliver(message);
  }

  createClient<Contract extends RpcContract>(
    caller: SimulatedCaller,
  ): ConfirmingRpcClient<Contract> {
    const call = (address: string, name: string, body: unknown, milliseconds: number) =>
      new Promise<unknown>((resolve, reject) => {
        caller.clock.after(milliseconds, () => {
          reject(RpcError.of('lost', 'call timed out'));
        });
        this.#send(caller.host, address, body, (server) => {
          const handler = server.calls[name];
          if (handler === undefined) return;
          // A handler fails only if its process was ended, which then answers nothing.
          Promise.resolve(handler(body)).then(
            (answer) => {
              this.#answer(server, caller, answer, () => {
                resolve(answer);
              });
            },
            () => undefined,
          );
        });
      });
    return {
      call: call,
      cast: (address, name, body) => {
        this.#send(caller.host, address, body, (server) => server.casts[name]?.(body));
      },
      castConfirmed: (address, name, body) =>
        confirmOrReject(caller.clock, (confirm) => {
          this.#send(caller.host, address, body, (server) => {
            server.casts[name]?.(body);
            confirm();
          });
        }),
      isConnected: () => true,
    };
  }

  #answer(
    server: SimulatedServer,
    caller: SimulatedCaller,
    body: unknown,
    action: () => void,
  ): void {
    const address = [...this.#servers].find(([, other]) => other.host === caller.host)?.[0];
    const isServing = [...this.#servers.values()].includes(server);
    if (address === undefined || !isServing) return;
    this.#send(server.host, address, body, () => {
      if (caller.isRunning) action();
    });
  }

  #send(from: string, address: string, body: unknown, deliver: Message['deliver']): void {
    if (this.#random.fraction() < this.lossFraction) return;
    if (this.#bytesPerMillisecond !== Infinity) {
      const deliverAt = this.#linkOf(from).send(body, this.#clock.monotonic());
      this.#messages.push({ from, address, deliverAt, deliver });
      return;
    }
    const span = MAXIMUM_DELAY_MILLISECONDS - MINIMUM_DELAY_MILLISECONDS;
    const delay = MINIMUM_DELAY_MILLISECONDS + this.#random.fraction() * span;
    const deliverAt = this.#clock.monotonic() + delay;
    this.#messages.push({ from, address, deliverAt, deliver });
  }

  #linkOf(host: string): SimulatedLink {
    const link = this.#links.get(host) ?? new SimulatedLink(this.#bytesPerMillisecond);
    this.#links.set(host, link);
    return link;
  }

  #deliver(message: Message): void {
    const server = this.#servers.get(message.address);
    if (server === undefined) return;
    if ((this.#cuts.get(`${message.from}>${server.host}`) ?? 0) > 0) return;
    if (server.isSuspended) this.#messages.push(message);
    else message.deliver(server);
  }
}
