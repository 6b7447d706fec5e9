import { findIncompleteness } from '../completeness';
import type { ConnectionEnding } from '../connection-ending';
import type { ResponseFraming } from '../response-framing';
import { ResponseRecorder } from '../response-recorder';

const FRAMING_HEADERS: Readonly<Record<ResponseFraming, object>> = {
  length: { 'content-length': '9' },
  chunked: { 'transfer-encoding': 'chunked' },
  connection: {},
};

function isComplete(
  framing: ResponseFraming,
  ending: ConnectionEnding,
  body: string,
  contentType = 'text/event-stream; charset=utf-8',
): boolean {
  const headers = { ...FRAMING_HEADERS[framing], 'content-type': contentType };
  const recorder = new ResponseRecorder({ headers });
  recorder.push(Buffer.from(body));
  return findIncompleteness(recorder.record(ending)) === undefined;
}

describe('findIncompleteness', () => {
  describe('of a stream of events', () => {
    it('finds each end inside an event', () => {
      for (const framing of ['length', 'chunked', 'connection'] as const) {
        for (const ending of ['open', 'closed', 'reset'] as const)
          expect([framing, ending, isComplete(framing, ending, 'data: a\n')]).toContain(false);
      }
    });

    it('finds none after an event, unless the connection that delimits the stream was reset', () => {
      expect(isComplete('length', 'open', 'data: a\n\n')).toBe(true);
      expect(isComplete('chunked', 'reset', 'data: a\n\n')).toBe(true);
      expect(isComplete('connection', 'closed', 'data: a\n\n')).toBe(true);
      expect(isComplete('connection', 'reset', 'data: a\n\n')).toBe(false);
    });

    it('finds a connection that was closed before the first event', () => {
      expect(isComplete('connection', 'closed', '')).toBe(false);
      expect(isComplete('connection', 'closed', ': ping\n')).toBe(false);
      expect(isComplete('chunked', 'open', '')).toBe(true);
    });

    it('finds none in a response without a body, such as one to HEAD', () => {
      expect(isComplete('connection', 'open', '')).toBe(true);
    });
  });

  describe('of another body', () => {
    it('finds only a reset of the connection that delimits it', () => {
      expect(isComplete('connection', 'closed', 'data: a', 'text/plain')).toBe(true);
      expect(isComplete('connection', 'reset', 'data: a', 'text/plain')).toBe(false);
      expect(isComplete('length', 'closed', 'data: a', 'text/event-streams')).toBe(true);
    });
  });
});
