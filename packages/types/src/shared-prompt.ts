/**
 * The part of a prompt that a request has in common with others.
 */

/** What a request shares, up to the finest part that it does not have for itself. */
export interface SharedPrompt {
  /** Names the finest shared part; requests with the same key share all of it. */
  readonly key: string;
  /** Tokens of this part and of all before it. */
  readonly tokens: number;
}
