import { digestText } from '../../src/core';

const CHARACTERS_PER_TOKEN = 4;

export function tokenize(text: string): readonly string[] {
  const tokens: string[] = [];
  for (let start = 0; start < text.length; start += CHARACTERS_PER_TOKEN) {
    tokens.push(text.slice(start, start + CHARACTERS_PER_TOKEN));
  }
  return tokens;
}

const VOCABULARY = [
  ...['seat', 'window', 'aisle', 'bag', 'flight', 'gate', 'album', 'spread', 'caption', 'print'],
  ...['order', 'change', 'time', 'page', 'first', 'row', 'two', 'the', 'and', 'with'],
] as const;

const MIN_COMPLETION_TOKENS = 6;
const DEFAULT_LENGTH_VARIANTS = 12;

/**
 * Generates the tokens of a completion, deterministically for each prompt. `[tokens=N]` in the last
 * message sets their number.
 */
export function generateCompletion(
  prompt: string,
  lastMessage: string,
  maxTokens: number,
): readonly string[] {
  const digest = Buffer.from(digestText(prompt), 'hex');
  const requestedTokens = /\[tokens=(\d+)\]/.exec(lastMessage)?.[1];
  const defaultTokens = MIN_COMPLETION_TOKENS + ((digest[0] ?? 0) % DEFAULT_LENGTH_VARIANTS);
  const length = Math.max(
    1,
    Math.min(maxTokens, requestedTokens === undefined ? defaultTokens : Number(requestedTokens)),
  );
  return Array.from({ length }, (_, index) => {
    const word =
      VOCABULARY[((digest[index % digest.length] ?? 0) + index) % VOCABULARY.length] ?? '';
    return index === 0 ? word : ` ${word}`;
  });
}
