import type { Issue } from '../core';
import { findSharedKeys } from '../teams';
import type { ConfigurationFile, ParsedFile, Service } from './schema';

/** Sections whose entries have names. */
type NamedSection = 'availability-zone' | 'team' | 'budget' | 'program' | 'service' | 'pool';

interface Reference {
  readonly path: readonly (string | number)[];
  readonly section: NamedSection;
  readonly name: string;
}

/** Finds names that stand twice, references to nothing, and services that can't be served. */
export function checkReferences(files: readonly ParsedFile[]): readonly Issue[] {
  return [
    ...checkNames(files),
    ...checkTargets(files),
    ...files.flatMap((file) => references(file)).flatMap((reference) => resolve(files, reference)),
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

interface Named {
  readonly path: readonly (string | number)[];
  readonly name: string;
}

function namesOf(files: readonly ParsedFile[], section: NamedSection): readonly Named[] {
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

function findRepeated(entries: readonly Named[], what: string): readonly Issue[] {
  const seen = new Set<string>();
  return entries.flatMap(({ path, name }) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    const message = `${what} "${name}" stands twice; rename or remove one`;
    return [{ code: 'name_twice', path, message }];
  });
}

function references(file: ParsedFile): readonly Reference[] {
  const { content } = file;
  const make = (
    section: NamedSection,
    name: string,
    ...path: readonly (string | number)[]
  ): Reference => ({ section, name, path: [file.name, ...path] });
  return [
    ...content.distance.flatMap((distance, index) =>
      distance.between.map((zone, end) =>
        make('availability-zone', zone, 'distance', index, 'between', end),
      ),
    ),
    ...content.team.map((team, index) =>
      make('program', team['default-program'], 'team', index, 'default-program'),
    ),
    ...content.program.flatMap((program, index) => [
      make('budget', program.budget, 'program', index, 'budget'),
      ...program.teams.map((team, at) => make('team', team, 'program', index, 'teams', at)),
      ...program.services.map((service, at) =>
        make('service', service, 'program', index, 'services', at),
      ),
    ]),
    ...content.service.flatMap((service, index) =>
      service.pool === undefined ? [] : [make('pool', service.pool, 'service', index, 'pool')],
    ),
    ...content.pool.flatMap((pool, index) =>
      pool.targets.map((target, at) =>
        make(
          'availability-zone',
          target['availability-zone'],
          ...['pool', index, 'targets', at, 'availability-zone'],
        ),
      ),
    ),
  ];
}

function resolve(files: readonly ParsedFile[], reference: Reference): readonly Issue[] {
  const known = namesOf(files, reference.section).map((entry) => entry.name);
  if (known.includes(reference.name)) return [];
  const choices = known.length === 0 ? 'none is defined' : `defined: ${known.join(', ')}`;
  const message = `found "${reference.name}"; no ${reference.section} has this name (${choices})`;
  return [{ code: 'unknown_reference', path: reference.path, message }];
}

function checkServices(file: ParsedFile): readonly Issue[] {
  return file.content.service.flatMap((service, index) =>
    serviceFaults(service).map((fault) => ({
      code: 'incomplete_service',
      path: [file.name, 'service', index, fault.key],
      message: fault.message,
    })),
  );
}

interface ServiceFault {
  readonly key: keyof ConfigurationFile['service'][number];
  readonly message: string;
}

function serviceFaults(service: Service): readonly ServiceFault[] {
  const faults: ServiceFault[] = [];
  if (service.adoption === 'managed' && service.pool === undefined) {
    faults.push({ key: 'pool', message: 'missing; a managed service needs a pool' });
  }
  if (service.adoption === 'pass-through' && service['old-address'] === undefined) {
    const message = 'missing; a service passed through needs the address it is served at today';
    faults.push({ key: 'old-address', message });
  }
  if (service.type === 'engine' && service.model === undefined) {
    faults.push({ key: 'model', message: 'missing; an engine service needs its model name' });
  }
  return faults;
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
