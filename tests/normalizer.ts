/** Ids of programs and of attempts, and addresses. */
const RUN_SPECIFIC_TEXT = /\b(p-[0-9a-f]{24}\.[a-z0-9-]+|[0-9a-f]{24}\.\d+|127\.0\.0\.\d+:\d+)\b/g;

/** Replaces texts that differ from run to run by placeholders numbered by first appearance. */
export class Normalizer {
  readonly #placeholders = new Map<string, string>();

  normalize(text: string): string {
    return text.replace(RUN_SPECIFIC_TEXT, (found) => {
      const existing = this.#placeholders.get(found);
      if (existing !== undefined) return existing;
      const placeholder = `<${kindOf(found)}-${this.#placeholders.size + 1}>`;
      this.#placeholders.set(found, placeholder);
      return placeholder;
    });
  }
}

function kindOf(text: string): string {
  if (text.startsWith('p-')) return 'program';
  return text.startsWith('127.') ? 'address' : 'attempt';
}
