/**
 * Part of a prompt that a request shares with other requests.
 */

/** Shared prefix of a prompt, up to the most specific part that other requests share. */
export interface SharedPrompt {
  /**
   * Identifies the most specific shared part; requests with the same key share the prefix up to it.
   */
  readonly key: string;
  /** Number of tokens of this part and all parts before it. */
  readonly tokens: number;
}
