import fc from 'fast-check';
import { EventBoundary } from '../event-boundary';

interface Stream {
  readonly text: string;
  /** Offsets at which the stream is outside of events; the first is 0. */
  readonly boundaries: ReadonlySet<number>;
  /** Offsets of the ends of events. */
  readonly eventEnds: readonly number[];
}

const fieldLine = fc.constantFrom('id: 7', 'data: word', 'data:', 'data', 'event: x', 'retry: 1');
const commentLine = fc.constantFrom(':', ': ping', ':data: x');
const event = fc.array(fc.oneof({ weight: 4, arbitrary: fieldLine }, commentLine), {
  maxLength: 4,
});
const block = fc.oneof(
  { weight: 4, arbitrary: event.map((lines) => ['data: first', ...lines, '']) },
  commentLine.map((line) => [line]),
);

/** Streams with one kind of line end, which begin with an event. */
const stream: fc.Arbitrary<Stream> = fc
  .tuple(event, fc.array(block, { maxLength: 5 }), fc.constantFrom('\n', '\r\n', '\r'))
  .map(([first, blocks, lineEnd]) => {
    const boundaries = new Set([0]);
    const eventEnds: number[] = [];
    let text = '';
    for (const lines of [['data: first', ...first, ''], ...blocks]) {
      text += lines.map((line) => line + lineEnd).join('');
      boundaries.add(text.length);
      if (lines.at(-1) === '') eventEnds.push(text.length);
    }
    return { text, boundaries, eventEnds };
  });

function feed(bytes: Buffer, cuts: readonly number[]): EventBoundary {
  const boundary = new EventBoundary();
  const ends = [...cuts.map((cut) => Math.min(cut, bytes.length)), bytes.length];
  let start = 0;
  for (const end of ends.sort((left, right) => left - right)) {
    boundary.push(bytes.subarray(start, end));
    start = end;
  }
  return boundary;
}

// Guards against a stream that was broken off inside an event being taken for complete.
describe('EventBoundary', () => {
  describe('for any stream, cut off anywhere and received in any pieces', () => {
    it('tells whether the stream is inside an event, and counts the complete ones', () => {
      const cuts = fc.array(fc.nat(120), { maxLength: 12 });
      fc.assert(
        fc.property(stream, fc.nat(200), cuts, ({ text, boundaries, eventEnds }, end, pieces) => {
          const received = text.slice(0, end);
          const boundary = feed(Buffer.from(received), pieces);
          expect(boundary.isInsideEvent).toBe(!boundaries.has(received.length));
          const complete = eventEnds.filter((eventEnd) => eventEnd <= received.length);
          const isHalfLineEnd = text.includes('\r\n') && received.endsWith('\r');
          if (!isHalfLineEnd) expect(boundary.events).toBe(complete.length);
        }),
        { seed: 46, numRuns: 2000 },
      );
    });

    it('does not depend on the pieces, even of one byte', () => {
      fc.assert(
        fc.property(stream, fc.nat(200), ({ text }, end) => {
          const received = Buffer.from(text.slice(0, end));
          const whole = feed(received, []);
          const bytewise = feed(received, [...received.keys()]);
          expect([bytewise.events, bytewise.isInsideEvent]).toEqual([
            whole.events,
            whole.isInsideEvent,
          ]);
        }),
        { seed: 46, numRuns: 500 },
      );
    });
  });

  describe('at the end of the stream', () => {
    const endsInside = (text: string) => feed(Buffer.from(text), []).isInsideEvent;

    it('is outside before the first byte, after events, and after comment lines between them', () => {
      for (const text of [
        '',
        'data: a\n\n',
        'data: a\r\n\r\n',
        'data: a\r\r',
        'data: a\n\n: ping\n',
      ])
        expect([text, endsInside(text)]).toEqual([text, false]);
    });

    it('is inside after a line without a line end, a field or a half line end', () => {
      for (const text of ['d', 'data: a', 'data: a\n', 'data: a\n\n:', 'data: a\r\n\r', 'id: 1\n'])
        expect([text, endsInside(text)]).toEqual([text, true]);
    });
  });
});
