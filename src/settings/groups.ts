import type { ClusterSettings } from './schema';

/** A replication group of programs; `hosts` are its members, the preferred leader first. */
export interface ProgramGroup {
  readonly name: string;
  readonly region: string;
  readonly hosts: readonly string[];
}

/** The program groups of all regions; the result is the same in every process. */
export function programGroups(cluster: ClusterSettings): readonly ProgramGroup[] {
  const regions = [...new Set(cluster.control.map((member) => member.region))].sort();
  return regions.flatMap((region) => {
    const hosts = cluster.control
      .filter((member) => member.region === region)
      .map((member) => member.name);
    return Array.from({ length: cluster['program-groups'] }, (_, index) => ({
      name: `${region}-${index + 1}`,
      region,
      hosts: rotate(hosts, index + 1),
    }));
  });
}

/** Assigns each group another preferred leader, to spread the leaders over the hosts. */
function rotate(hosts: readonly string[], count: number): readonly string[] {
  const start = count % hosts.length;
  return [...hosts.slice(start), ...hosts.slice(0, start)];
}
