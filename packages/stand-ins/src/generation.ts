/**
 * The deterministic text that the stand-in engine generates.
 */
import { fastHash } from '@shedline/types';

const WORDS = (
  'layer clay hearth sherd trench bone stone ash pit wall floor sand silt post hole bead ' +
  'beam glass light oak plaster stair roof shade tile brick courtyard lamp window vault arch door'
).split(' ');
const MIN_TOKENS = 12;
const TOKEN_SPREAD = 36;
const CHARS_PER_TOKEN = 4;

/** What an engine will answer to a prompt. */
export interface Generation {
  readonly tokenCount: number;
  readonly finishReason: 'stop' | 'length';
  /** The token at a position; the same on every engine and every attempt. */
  token(position: number): string;
}

/** Plans the answer to a prompt. */
export function planGeneration(prompt: string, maxTokens: number | undefined): Generation {
  const seed = fastHash(prompt);
  const natural = MIN_TOKENS + (seed % TOKEN_SPREAD);
  const tokenCount = Math.min(natural, maxTokens ?? natural);
  return {
    tokenCount,
    finishReason: tokenCount < natural ? 'length' : 'stop',
    token: (position) => {
      const word = WORDS[fastHash(`${seed}:${position}`) % WORDS.length] ?? 'stone';
      return position === 0 ? word : ` ${word}`;
    },
  };
}

/** Rough number of tokens of a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}
