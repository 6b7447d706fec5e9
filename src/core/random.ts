import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Source of randomness, injected so that tests can replay a run. */
export interface RandomSource {
  /** A number in [0, 1). */
  fraction(): number;
  /** `length` random bytes in hexadecimal, so a text of twice that length. */
  hex(length: number): string;
}

/** The operating system's random source. */
export class SystemRandom implements RandomSource {
  fraction(): number {
    return randomBytes(4).readUInt32BE() / 2 ** 32;
  }

  hex(length: number): string {
    return randomBytes(length).toString('hex');
  }
}

/** A repeatable source: equal seeds give equal sequences. */
export class SeededRandom implements RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  fraction(): number {
    return uniformInt(this.#generator, 0, 0xffff_fffe) / 0xffff_ffff;
  }

  hex(length: number): string {
    const bytes = Array.from({ length }, () => uniformInt(this.#generator, 0, 255));
    return Buffer.from(bytes).toString('hex');
  }
}
