import { SeededRandom } from '../../core';
import { packText, packedLengthOf, unpackText } from '..';

/** Routes with random names, as JSON. */
function createText(routes: number): string {
  const random = new SeededRandom(1);
  const list = Array.from({ length: routes }, () => ({
    name: `r-${random.hex(4)}`,
    hostname: `${random.hex(3)}.example`,
    pathPrefix: `/${random.hex(4)}/`,
    ...{ kind: 'idempotent', timeoutMs: 4000, targetLatencyMs: 200, maxAttempts: 2 },
    trafficSplit: [{ service: 'registry-desk – Ä', weight: 90 }],
  }));
  return JSON.stringify(list);
}

describe('packText', () => {
  it('leaves a short text as it is', () => {
    expect(packText('{"version":1}')).toBe('{"version":1}');
  });

  it('takes a fraction of the size of a large configuration, which it keeps', () => {
    const text = createText(2800);
    const packed = packText(text);
    expect(packedLengthOf(packed)).toBeLessThan(text.length / 4);
    expect(unpackText(packed)).toBe(text);
  });

  it('does not unpack damaged data', () => {
    expect(() => unpackText({ deflated: 'bm90IGRlZmxhdGVk' })).toThrow();
  });
});
