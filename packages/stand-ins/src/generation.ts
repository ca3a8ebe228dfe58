/**
 * Deterministic text generation of the stand-in engine.
 */
import { fastHash } from '@shedline/types';

const WORDS = (
  'layer clay hearth sherd trench bone stone ash pit wall floor sand silt post hole bead ' +
  'beam glass light oak plaster stair roof shade tile brick courtyard lamp window vault arch door'
).split(' ');
const MIN_TOKENS = 12;
const TOKEN_SPREAD = 36;
const CHARS_PER_TOKEN = 4;

/** The tokens that an engine generates for a prompt. */
export interface Generation {
  readonly tokenCount: number;
  readonly finishReason: 'stop' | 'length';
  /** Returns the token at a position; it is the same on every engine and in every attempt. */
  token(position: number): string;
}

/** Determines the tokens generated for a prompt. */
export function planGeneration(prompt: string, maxTokens: number | undefined): Generation {
  const seed = fastHash(prompt);
  const unlimitedCount = MIN_TOKENS + (seed % TOKEN_SPREAD);
  const tokenCount = Math.min(unlimitedCount, maxTokens ?? unlimitedCount);
  return {
    tokenCount,
    finishReason: tokenCount < unlimitedCount ? 'length' : 'stop',
    token: (position) => {
      const word = WORDS[fastHash(`${seed}:${position}`) % WORDS.length] ?? 'stone';
      return position === 0 ? word : ` ${word}`;
    },
  };
}

/** Estimates the number of tokens of a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}
