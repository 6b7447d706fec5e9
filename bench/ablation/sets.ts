import {
  DEFAULT_DECISION_SWITCHES,
  type DecisionSwitches,
  PLACEMENT_POLICY_NAMES,
} from '../../src/decisions';

/** Mechanisms that are switched off together, or a policy that takes the place of the usual one. */
export interface SwitchSet {
  readonly name: string;
  readonly switches: Partial<DecisionSwitches>;
}

/** The set with which the others are compared. */
export const USUAL: SwitchSet = { name: 'usual', switches: {} };

/** Everything in use, each mechanism off by itself, and the policies that stand for comparison. */
export function allSets(): readonly SwitchSet[] {
  const [, ...baselines] = PLACEMENT_POLICY_NAMES;
  const mechanisms = Object.entries(DEFAULT_DECISION_SWITCHES).flatMap(([name, value]) =>
    value === true ? [{ name: `without-${name}`, switches: { [name]: false } }] : [],
  );
  const policies = baselines.map((policy) => ({
    name: policy,
    switches: { 'placement-policy': policy },
  }));
  return [USUAL, ...mechanisms, ...policies];
}

/** Sets by name, the usual one always first; fails at a name that no set has. */
export function pickSets(names: readonly string[]): readonly SwitchSet[] {
  const all = allSets();
  if (names.length === 0) return all;
  const picked = names
    .filter((name) => name !== USUAL.name)
    .map((name) => {
      const found = all.find((set) => set.name === name);
      if (found !== undefined) return found;
      const known = all.map((set) => set.name).join(', ');
      throw new Error(`no set is called ${name}; there are ${known}`);
    });
  return [USUAL, ...picked];
}

/** The lines that a settings file needs for a set. */
export function settingsOf({ switches }: SwitchSet): string {
  const lines = Object.entries(switches).map(
    ([name, value]) => `${name} = ${JSON.stringify(value)}`,
  );
  return lines.length === 0 ? '' : `\n[decisions]\n${lines.join('\n')}\n`;
}
