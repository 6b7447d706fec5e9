import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Source of randomness; tests inject a seeded one. */
export interface RandomSource {
  /** A number in [0, 1). */
  fraction(): number;
  /** `length` random bytes in hexadecimal: a string of `2 * length` digits. */
  hex(length: number): string;
}

const FRACTION_BYTES = 4;

/** Bytes requested from the operating system at once. */
const POOL_BYTES = 1024;

/**
 * Cryptographically secure random source of the operating system. Fractions are read from a pool, to
 * save a system call for each.
 */
export class SystemRandom implements RandomSource {
  #pool = Buffer.alloc(0);
  #offset = 0;

  fraction(): number {
    if (this.#offset + FRACTION_BYTES > this.#pool.length) {
      this.#pool = randomBytes(POOL_BYTES);
      this.#offset = 0;
    }
    const value = this.#pool.readUInt32BE(this.#offset) / 2 ** 32;
    this.#offset += FRACTION_BYTES;
    return value;
  }

  hex(length: number): string {
    return randomBytes(length).toString('hex');
  }
}

/** Deterministic source, not for secrets: equal seeds give equal sequences. */
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
