import type { Issue } from '../core';
import { findSharedKeys } from '../teams';
import type { ConfigurationFile, ParsedFile, Service } from './schema';

type NamedSection = 'availability-zone' | 'team' | 'budget' | 'program' | 'service' | 'pool';

interface Reference {
  readonly path: readonly (string | number)[];
  readonly section: NamedSection;
  readonly name: string;
}

/** Finds repeated names and keys, unknown references and services without a required key. */
export function validateFiles(files: readonly ParsedFile[]): readonly Issue[] {
  return [
    ...checkNames(files),
    ...checkTargets(files),
    ...files
      .flatMap((file) => referencesOf(file))
      .flatMap((reference) => checkReference(files, reference)),
    ...files.flatMap((file) => checkServices(file)),
    ...checkModels(files),
    ...checkKeys(files),
  ];
}

const SECTIONS: readonly NamedSection[] = [
  'availability-zone',
  'team',
  'budget',
  'program',
  'service',
  'pool',
];

interface NamedEntry {
  readonly path: readonly (string | number)[];
  readonly name: string;
}

function namesOf(files: readonly ParsedFile[], section: NamedSection): readonly NamedEntry[] {
  return files.flatMap((file) =>
    file.content[section].map((entry, index) => ({
      path: [file.name, section, index, 'name'],
      name: entry.name,
    })),
  );
}

function checkNames(files: readonly ParsedFile[]): readonly Issue[] {
  return SECTIONS.flatMap((section) => findRepeated(namesOf(files, section), section));
}

function checkTargets(files: readonly ParsedFile[]): readonly Issue[] {
  const targets = files.flatMap((file) =>
    file.content.pool.flatMap((pool, poolIndex) =>
      pool.targets.map((target, index) => ({
        path: [file.name, 'pool', poolIndex, 'targets', index, 'name'],
        name: target.name,
      })),
    ),
  );
  return findRepeated(targets, 'target');
}

function findRepeated(entries: readonly NamedEntry[], kind: string): readonly Issue[] {
  const seen = new Set<string>();
  return entries.flatMap(({ path, name }) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    const message = `${kind} "${name}" is defined twice; rename or remove one`;
    return [{ code: 'name_twice', path, message }];
  });
}

function referencesOf(file: ParsedFile): readonly Reference[] {
  const { content } = file;
  const createReference = (
    section: NamedSection,
    name: string,
    ...path: readonly (string | number)[]
  ): Reference => ({ section, name, path: [file.name, ...path] });
  return [
    ...content.distance.flatMap((distance, index) =>
      distance.between.map((zone, end) =>
        createReference('availability-zone', zone, 'distance', index, 'between', end),
      ),
    ),
    ...content.team.map((team, index) =>
      createReference('program', team['default-program'], 'team', index, 'default-program'),
    ),
    ...content.program.flatMap((program, index) => [
      createReference('budget', program.budget, 'program', index, 'budget'),
      ...program.teams.map((team, position) =>
        createReference('team', team, 'program', index, 'teams', position),
      ),
      ...program.services.map((service, position) =>
        createReference('service', service, 'program', index, 'services', position),
      ),
    ]),
    ...content.service.flatMap((service, index) =>
      service.pool === undefined
        ? []
        : [createReference('pool', service.pool, 'service', index, 'pool')],
    ),
    ...content.pool.flatMap((pool, index) =>
      pool.targets.map((target, position) =>
        createReference(
          'availability-zone',
          target['availability-zone'],
          ...['pool', index, 'targets', position, 'availability-zone'],
        ),
      ),
    ),
  ];
}

function checkReference(files: readonly ParsedFile[], reference: Reference): readonly Issue[] {
  const definedNames = namesOf(files, reference.section).map((entry) => entry.name);
  if (definedNames.includes(reference.name)) return [];
  const choices =
    definedNames.length === 0 ? 'none is defined' : `defined: ${definedNames.join(', ')}`;
  const message = `found "${reference.name}"; no ${reference.section} has this name (${choices})`;
  return [{ code: 'unknown_reference', path: reference.path, message }];
}

function checkServices(file: ParsedFile): readonly Issue[] {
  return file.content.service.flatMap((service, index) =>
    findServiceIssues(service).map((issue) => ({
      code: 'incomplete_service',
      path: [file.name, 'service', index, issue.key],
      message: issue.message,
    })),
  );
}

interface ServiceIssue {
  readonly key: keyof ConfigurationFile['service'][number];
  readonly message: string;
}

function findServiceIssues(service: Service): readonly ServiceIssue[] {
  const issues: ServiceIssue[] = [];
  if (service.adoption === 'managed' && service.pool === undefined) {
    issues.push({ key: 'pool', message: 'missing; a managed service needs a pool' });
  }
  if (service.adoption === 'pass-through' && service['old-address'] === undefined) {
    const message = 'missing; a pass-through service needs the address that serves it now';
    issues.push({ key: 'old-address', message });
  }
  if (service.type === 'engine' && service.model === undefined) {
    issues.push({ key: 'model', message: 'missing; an engine service needs its model name' });
  }
  return issues;
}

function checkModels(files: readonly ParsedFile[]): readonly Issue[] {
  const models = files.flatMap((file) =>
    file.content.service.flatMap((service, index) =>
      service.model === undefined
        ? []
        : [{ path: [file.name, 'service', index, 'model'], name: service.model }],
    ),
  );
  return findRepeated(models, 'model');
}

function checkKeys(files: readonly ParsedFile[]): readonly Issue[] {
  return findSharedKeys(
    files.flatMap(({ name: file, content }) =>
      content.team.map(({ name, 'key-digests': keyDigests }, index) => ({
        name,
        keyDigests,
        path: [file, 'team', index, 'key-digests'],
      })),
    ),
  );
}
