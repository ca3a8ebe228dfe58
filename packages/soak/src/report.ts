/**
 * Formats outcomes of the test: faults, observations and violated promises.
 */
import type { FaultKind } from './fault-plan.js';
import type { SoakOutcome } from './soak-run.js';

/** Returns a Markdown report about many seeds. */
export function soakReport(outcomes: readonly SoakOutcome[]): string {
  const failedOutcomes = outcomes.filter(({ breaks }) => breaks.length > 0);
  const faults = outcomes.flatMap((outcome) => outcome.faults);
  return [
    '# Fault soak',
    '',
    `${outcomes.length} seeds, ${faults.length} faults, ${failedOutcomes.length} seeds with a break.`,
    '',
    '## Faults',
    '',
    ...table(['fault', 'times'], faultCounts(faults.map(({ kind }) => kind))),
    '',
    '## What was seen',
    '',
    ...table(['seen', 'times'], totalCounts(outcomes)),
    '',
    '## Breaks',
    '',
    ...(failedOutcomes.length === 0 ? ['None.'] : failedOutcomes.flatMap(violationLines)),
    '',
  ].join('\n');
}

/** Returns one line about a seed, for a terminal. */
export function soakLine({ seed, faults, breaks, silences, tookMs }: SoakOutcome): string {
  const verdict = breaks.length === 0 ? 'kept' : `${breaks.length} broken`;
  const firstBreak = breaks[0];
  const detail = firstBreak === undefined ? '' : `: ${firstBreak.promise}, ${firstBreak.detail}`;
  const seconds = Math.round(tookMs / 1000);
  const serviceShares = silences.map(
    ({ beforeShare, afterShare }) =>
      `  served ${beforeShare.toFixed(2)} -> ${afterShare.toFixed(2)}`,
  );
  const line = `seed ${seed}  ${verdict}  ${faults.length} faults  ${seconds} s`;
  return line + serviceShares.join('') + detail;
}

function violationLines({ seed, breaks }: SoakOutcome): string[] {
  const lines = breaks.map(({ promise, atMs, detail }) => `- ${promise} (${atMs} ms): ${detail}`);
  return [`### Seed ${seed}`, '', ...lines, ''];
}

function faultCounts(kinds: readonly FaultKind[]): [string, number][] {
  const counts = new Map<string, number>();
  for (const kind of kinds) counts.set(kind, (counts.get(kind) ?? 0) + 1);
  return [...counts].sort(([a], [b]) => (a < b ? -1 : 1));
}

function totalCounts(outcomes: readonly SoakOutcome[]): [string, number][] {
  const sums = new Map<string, number>();
  for (const { counts } of outcomes) {
    for (const [event, count] of Object.entries(counts)) {
      sums.set(event, (sums.get(event) ?? 0) + count);
    }
  }
  return [...sums].sort(([a], [b]) => (a < b ? -1 : 1));
}

function table(head: readonly [string, string], rows: readonly [string, number][]): string[] {
  const lines = rows.map(([name, count]) => `| ${name} | ${count} |`);
  return [`| ${head.join(' | ')} |`, '| --- | --- |', ...lines];
}
