import {
  DEFAULT_DECISION_SWITCHES,
  type DecisionSwitches,
  PLACEMENT_POLICY_NAMES,
} from '../../src/decisions';

/** Decision switches that differ from the defaults in one run. */
export interface SwitchSet {
  readonly name: string;
  readonly switches: Partial<DecisionSwitches>;
}

/** The baseline of the comparison: all defaults. */
export const DEFAULT_SET: SwitchSet = { name: 'usual', switches: {} };

/** The defaults, one set for each disabled mechanism, and one for each baseline policy. */
export function allSets(): readonly SwitchSet[] {
  const [, ...baselines] = PLACEMENT_POLICY_NAMES;
  const mechanisms = Object.entries(DEFAULT_DECISION_SWITCHES).flatMap(([name, value]) =>
    value === true ? [{ name: `without-${name}`, switches: { [name]: false } }] : [],
  );
  const policies = baselines.map((policy) => ({
    name: policy,
    switches: { 'placement-policy': policy },
  }));
  return [DEFAULT_SET, ...mechanisms, ...policies];
}

/** Sets by name, after the default one. @throws Error if a name is unknown */
export function selectSets(names: readonly string[]): readonly SwitchSet[] {
  const all = allSets();
  if (names.length === 0) return all;
  const selected = names
    .filter((name) => name !== DEFAULT_SET.name)
    .map((name) => {
      const found = all.find((set) => set.name === name);
      if (found !== undefined) return found;
      const known = all.map((set) => set.name).join(', ');
      throw new Error(`unknown switch set "${name}"; expected one of: ${known}`);
    });
  return [DEFAULT_SET, ...selected];
}

/** TOML lines that apply a set when appended to a settings file; empty for the defaults. */
export function formatSettings({ switches }: SwitchSet): string {
  const lines = Object.entries(switches).map(
    ([name, value]) => `${name} = ${JSON.stringify(value)}`,
  );
  return lines.length === 0 ? '' : `\n[decisions]\n${lines.join('\n')}\n`;
}
