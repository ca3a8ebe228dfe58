/**
 * Faults that a request can trigger in the stand-ins.
 */

/**
 * Kinds of faults: `die` crashes the stand-in, `cut` ends the response early, `hang` sends nothing
 * more, `late` delays the start, `refuse` and `invalid` respond with an error status, `crossed`
 * responds with the id of another request.
 */
export type FaultKind = 'die' | 'cut' | 'hang' | 'late' | 'refuse' | 'crossed' | 'invalid';

/** A fault and the token after which it happens. */
export interface Fault {
  readonly kind: FaultKind;
  readonly afterTokens: number;
  /** Whether the fault also occurs in attempts that resume from given tokens. */
  readonly appliesToResumed: boolean;
}

const FAULT_PATTERN = /^(die|cut|hang|late|refuse|crossed|invalid)(?::(\d+))?(!)?$/;

/** Parses a fault such as `cut:5`, or `die:3!` for a fault that occurs in every attempt. */
export function parseFault(text: unknown): Fault | undefined {
  if (typeof text !== 'string') return undefined;
  const parts = FAULT_PATTERN.exec(text);
  if (parts === null) return undefined;
  return {
    kind: parts[1] as FaultKind,
    afterTokens: Number(parts[2] ?? 0),
    appliesToResumed: parts[3] === '!',
  };
}
