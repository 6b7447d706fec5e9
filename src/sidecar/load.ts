import * as z from 'zod';
import type { Configuration } from '../configuration';
import { type Logger, messageOf } from '../core';
import type { Load } from '../protocol';
import type { TargetProxy } from './target-proxy';
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

/** Reads the load that an engine reports; falls back to the calls in flight at this sidecar. */
export async function readEngineLoad(
  client: TargetClient,
  proxy: TargetProxy,
  logger: Logger,
): Promise<Load> {
  try {
    const parsed = loadSchema.safeParse(await client.requestJson('GET', '/load'));
    if (parsed.success) return parsed.data;
  } catch (error) {
    logger.debug({ event: 'load-unreadable', error: messageOf(error) });
  }
  return { running: proxy.running, waiting: 0 };
}
