import * as z from 'zod';

/** `soonest` is used in production; the others are baselines for benchmarks. */
export const PLACEMENT_POLICY_NAMES = [
  'soonest',
  'round-robin',
  'least-load',
  'prefix-affinity',
] as const;

/** Settings that disable single decision mechanisms, for ablation benchmarks. */
export const decisionSwitchesSchema = z
  .strictObject({
    'placement-policy': z.enum(PLACEMENT_POLICY_NAMES).default('soonest'),
    /** Prefer engines that cache parts of the prompt, estimated from what this process has sent. */
    'held-parts': z.boolean().default(true),
    /** Prefer the engine of the conversation's previous turn, which caches the conversation. */
    'last-target': z.boolean().default(true),
    /** Prefer targets in the gateway's availability zone. */
    zones: z.boolean().default(true),
    /** Avoid targets with a high share of recent failures. */
    'failure-shares': z.boolean().default(true),
    /** Exclude unreachable targets with exponential backoff. */
    pauses: z.boolean().default(true),
    /** Exchange the number of requests in flight per target with the other gateways. */
    'shared-loads': z.boolean().default(true),
    /** Prefer targets with an idle connection; effective only with `processor-share`. */
    'connection-reuse': z.boolean().default(true),
    /** Refuse new programs while the engines are overloaded. */
    'overload-refusals': z.boolean().default(true),
    /** Give teams fair shares of full engines; effective only with teams. */
    'fair-shares': z.boolean().default(true),
    /** Retry at another target. */
    retries: z.boolean().default(true),
    /** Send a hedged request when a repeatable call is late. */
    'second-sends': z.boolean().default(true),
    /** Stop requests under which targets end one after the other. */
    'crash-limit': z.boolean().default(true),
    /** Send engines the priority of the request. */
    'engine-priorities': z.boolean().default(true),
    /** Let one gateway read the target list on behalf of all gateways. */
    'list-reader': z.boolean().default(true),
  })
  .readonly();

export type DecisionSwitches = z.output<typeof decisionSwitchesSchema>;

export const DEFAULT_DECISION_SWITCHES: DecisionSwitches = decisionSwitchesSchema.parse({});
