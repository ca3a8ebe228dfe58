/**
 * The outcome of many seeds as a page: what was done, what was checked, what broke.
 */
import type { FaultKind } from './fault-plan.js';
import type { SoakOutcome } from './soak-run.js';

/** A page in Markdown. */
export function soakReport(outcomes: readonly SoakOutcome[]): string {
  const broken = outcomes.filter(({ breaks }) => breaks.length > 0);
  const faults = outcomes.flatMap((outcome) => outcome.faults);
  return [
    '# Fault soak',
    '',
    `${outcomes.length} seeds, ${faults.length} faults, ${broken.length} seeds with a break.`,
    '',
    '## Faults',
    '',
    ...table(['fault', 'times'], countsOf(faults.map(({ kind }) => kind))),
    '',
    '## What was seen',
    '',
    ...table(['seen', 'times'], sumOf(outcomes)),
    '',
    '## Breaks',
    '',
    ...(broken.length === 0 ? ['None.'] : broken.flatMap(breaksOf)),
    '',
  ].join('\n');
}

/** One line about a seed, for a terminal. */
export function soakLine({ seed, faults, breaks, silences, tookMs }: SoakOutcome): string {
  const verdict = breaks.length === 0 ? 'kept' : `${breaks.length} broken`;
  const first = breaks[0];
  const detail = first === undefined ? '' : `: ${first.promise}, ${first.detail}`;
  const seconds = Math.round(tookMs / 1000);
  const service = silences.map(
    ({ beforeShare, afterShare }) =>
      `  served ${beforeShare.toFixed(2)} -> ${afterShare.toFixed(2)}`,
  );
  const line = `seed ${seed}  ${verdict}  ${faults.length} faults  ${seconds} s`;
  return line + service.join('') + detail;
}

function breaksOf({ seed, breaks }: SoakOutcome): string[] {
  const lines = breaks.map(({ promise, atMs, detail }) => `- ${promise} (${atMs} ms): ${detail}`);
  return [`### Seed ${seed}`, '', ...lines, ''];
}

function countsOf(kinds: readonly FaultKind[]): [string, number][] {
  const counts = new Map<string, number>();
  for (const kind of kinds) counts.set(kind, (counts.get(kind) ?? 0) + 1);
  return [...counts].sort(([a], [b]) => (a < b ? -1 : 1));
}

function sumOf(outcomes: readonly SoakOutcome[]): [string, number][] {
  const sums = new Map<string, number>();
  for (const { counts } of outcomes) {
    for (const [what, count] of Object.entries(counts)) {
      sums.set(what, (sums.get(what) ?? 0) + count);
    }
  }
  return [...sums].sort(([a], [b]) => (a < b ? -1 : 1));
}

function table(head: readonly [string, string], rows: readonly [string, number][]): string[] {
  const lines = rows.map(([name, count]) => `| ${name} | ${count} |`);
  return [`| ${head.join(' | ')} |`, '| --- | --- |', ...lines];
}
