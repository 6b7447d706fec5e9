import { digestText } from '../../src/core';

/** Characters to one token of the stand-in's vocabulary. */
const TOKEN_CHARACTERS = 4;

/** Splits text into the stand-in's tokens. */
export function tokenize(text: string): readonly string[] {
  const tokens: string[] = [];
  for (let at = 0; at < text.length; at += TOKEN_CHARACTERS) {
    tokens.push(text.slice(at, at + TOKEN_CHARACTERS));
  }
  return tokens;
}

const WORDS = [
  ...['seat', 'window', 'aisle', 'bag', 'flight', 'gate', 'album', 'spread', 'caption', 'print'],
  ...['order', 'change', 'time', 'page', 'first', 'row', 'two', 'the', 'and', 'with'],
] as const;

const SHORTEST_ANSWER = 6;
const ANSWER_SPREAD = 12;

/**
 * The answer to a prompt: always the same one for the same prompt. `[tokens=N]` in the prompt's
 * last message sets its length.
 */
export function answerTo(prompt: string, lastMessage: string, limit: number): readonly string[] {
  const digest = Buffer.from(digestText(prompt), 'hex');
  const asked = /\[tokens=(\d+)\]/.exec(lastMessage)?.[1];
  const own = SHORTEST_ANSWER + ((digest[0] ?? 0) % ANSWER_SPREAD);
  const length = Math.max(1, Math.min(limit, asked === undefined ? own : Number(asked)));
  return Array.from({ length }, (_, index) => {
    const word = WORDS[((digest[index % digest.length] ?? 0) + index) % WORDS.length] ?? '';
    return index === 0 ? word : ` ${word}`;
  });
}
