import * as z from 'zod';

/** Ways to choose a target; all but the first stand for comparison. */
export const PLACEMENT_POLICIES = [
  'soonest',
  'round-robin',
  'least-load',
  'prefix-affinity',
] as const;

/**
 * Which mechanisms decide about requests. All are in use unless the settings switch one off, which is
 * meant for measuring what each is worth.
 */
export const decisionSwitchesSchema = z
  .strictObject({
    'placement-policy': z.enum(PLACEMENT_POLICIES).default('soonest'),
    /** Weigh what engines hold of a prompt, as far as this process has sent it to them. */
    'held-parts': z.boolean().default(true),
    /** Weigh what the engine of a conversation's last turn holds of it. */
    'last-target': z.boolean().default(true),
    /** Prefer targets in the own availability zone. */
    zones: z.boolean().default(true),
    /** Weigh the share of requests that failed lately at each target. */
    'failure-shares': z.boolean().default(true),
    /** Keep new work away from targets that can't be reached, for a time that grows. */
    pauses: z.boolean().default(true),
    /** Tell the other gateways what is under way at each target. */
    'shared-loads': z.boolean().default(true),
    /** Begin no program while the engines are overloaded. */
    'overload-refusals': z.boolean().default(true),
    /** Send a request to another target where the first has not run it. */
    retries: z.boolean().default(true),
    /** Send a late repeatable call to a second target. */
    'second-sends': z.boolean().default(true),
    /** Tell engines the priority of the route. */
    'engine-priorities': z.boolean().default(true),
    /** Have one gateway read the list of targets for all. */
    'list-reader': z.boolean().default(true),
  })
  .readonly();

export type DecisionSwitches = z.output<typeof decisionSwitchesSchema>;

/** Everything in use. */
export const ALL_DECISIONS: DecisionSwitches = decisionSwitchesSchema.parse({});
