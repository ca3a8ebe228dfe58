import type { SharedPrompt } from './shared-prompt.js';

/** Further conditions for the choice of an endpoint. */
export interface ChoiceOptions {
  /** Whether the request may wait at an endpoint for a slot; true if omitted. */
  readonly mayQueue?: boolean;
  /** Part of its prompt that it shares with other requests. */
  readonly prompt?: SharedPrompt | undefined;
  /** Software version that the endpoint must have; any if omitted. */
  readonly softwareVersion?: string | undefined;
}
