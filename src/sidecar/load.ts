import * as z from 'zod';
import type { Configuration } from '../configuration';
import { type Logger, messageOf } from '../core';
import type { Load } from '../protocol';
import type { TargetClient } from './target-client';

const loadSchema = z.object({ running: z.int(), waiting: z.int() });

/**
 * Whether a target serves an engine service. Plain services are not polled for their load: they
 * receive only requests of callers.
 */
export function isEngine(configuration: Configuration | undefined, target: string): boolean {
  const pools = (configuration?.pools ?? [])
    .filter((pool) => pool.targets.some((entry) => entry.name === target))
    .map((pool) => pool.name);
  return (configuration?.services ?? []).some(
    (service) => service.type === 'engine' && pools.includes(service.pool ?? ''),
  );
}

/** Reads the load that an engine reports; undefined if the report can't be read. */
export async function readEngineLoad(
  client: TargetClient,
  logger: Logger,
): Promise<Load | undefined> {
  try {
    const parsed = loadSchema.safeParse(await client.requestJson('GET', '/load'));
    if (parsed.success) return parsed.data;
  } catch (error) {
    logger.debug({ event: 'load-unreadable', error: messageOf(error) });
  }
  return undefined;
}
