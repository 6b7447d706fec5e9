import { safeParseConfiguration } from '../configuration';
import type { AcceptConfiguration } from './commands';
import type { AcceptOutcome, NotAccepted } from './outcomes';
import type { Tables } from './tables';

/**
 * Takes a configuration if its number is above the one in force. The number and digest of an
 * accepted one get the same answer for ever; the same number with another digest is refused.
 */
export function acceptConfiguration(tables: Tables, input: AcceptConfiguration): AcceptOutcome {
  const { number, digest, files } = input;
  const winner = tables.acceptedDigests.get(number);
  if (winner === digest) return { outcome: 'accepted', number, digest };
  if (winner !== undefined) {
    const message = `number ${number} is taken by the configuration with digest ${winner}; raise "number"`;
    return notAccepted(tables, 'number-taken', message);
  }
  const inForce = tables.accepted?.configuration.number ?? 0;
  if (number < inForce) {
    const message = `number ${number} is lower than ${inForce}, which is in force; raise "number"`;
    return notAccepted(tables, 'number-low', message);
  }
  const parsed = safeParseConfiguration(files);
  if (parsed.err) return notAccepted(tables, 'invalid', parsed.val.message);
  if (parsed.val.number !== number || parsed.val.digest !== digest) {
    return notAccepted(tables, 'invalid', 'the files do not match their number and digest');
  }
  tables.accepted = { configuration: parsed.val, files };
  tables.acceptedDigests.set(number, digest);
  return { outcome: 'accepted', number, digest };
}

function notAccepted(tables: Tables, code: NotAccepted['code'], message: string): NotAccepted {
  const configuration = tables.accepted?.configuration;
  const number = configuration?.number ?? 0;
  return { outcome: 'not-accepted', code, message, number, digest: configuration?.digest ?? '' };
}
