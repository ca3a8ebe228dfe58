import type { SharedPrompt } from './shared-prompt.js';

/** What else decides the choice of an endpoint. */
export interface ChoiceTerms {
  /** Whether the request may wait at an endpoint for a slot that is not free yet; it may where this is left out. */
  readonly mayQueue?: boolean;
  /** What its prompt shares with others. */
  readonly prompt?: SharedPrompt | undefined;
}
