/**
 * Faults that a request can ask the stand-ins for.
 */

/** What goes wrong. */
export type FaultKind = 'die' | 'cut' | 'hang' | 'late' | 'refuse' | 'crossed' | 'invalid';

/** A fault and the token after which it happens. */
export interface Fault {
  readonly kind: FaultKind;
  readonly afterTokens: number;
  /** The fault also strikes attempts that resume from given tokens. */
  readonly always: boolean;
}

const FAULT_PATTERN = /^(die|cut|hang|late|refuse|crossed|invalid)(?::(\d+))?(!)?$/;

/** Reads a fault such as `cut:5`, or `die:3!` for one that strikes every attempt. */
export function parseFault(text: unknown): Fault | undefined {
  if (typeof text !== 'string') return undefined;
  const parts = FAULT_PATTERN.exec(text);
  if (parts === null) return undefined;
  return {
    kind: parts[1] as FaultKind,
    afterTokens: Number(parts[2] ?? 0),
    always: parts[3] === '!',
  };
}
