import * as z from 'zod';
import type { Configuration } from '../configuration';
import { type Logger, messageOf } from '../core';
import type { Load } from '../protocol';
import type { Gateway } from './gateway';
import type { TargetClient } from './target-client';

const loadSchema = z.object({ running: z.int(), waiting: z.int() });

/** Whether a target is an engine; a plain service gets no request that no caller made. */
export function isEngine(configuration: Configuration | undefined, target: string): boolean {
  const pools = (configuration?.pools ?? [])
    .filter((pool) => pool.targets.some((entry) => entry.name === target))
    .map((pool) => pool.name);
  return (configuration?.services ?? []).some(
    (service) => service.type === 'engine' && pools.includes(service.pool ?? ''),
  );
}

/** Reads an engine's own load; if it reports none, the calls under way count. */
export async function readEngineLoad(
  client: TargetClient,
  gateway: Gateway,
  logger: Logger,
): Promise<Load> {
  try {
    const parsed = loadSchema.safeParse(await client.json('GET', '/load'));
    if (parsed.success) return parsed.data;
  } catch (error) {
    logger.debug({ event: 'load-unreadable', error: messageOf(error) });
  }
  return { running: gateway.running, waiting: 0 };
}
