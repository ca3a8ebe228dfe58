/**
 * Prints where a simulated day lost score, from a JSON report: the loss by each part of the score
 * and by each deduction, which add up to 1 minus the score, and the windows with the lowest score.
 *
 * `node bench/dist/binding.js REPORT.json`
 */
import { readFile } from 'node:fs/promises';
import { report } from './support/report.js';
import type { ResultRow } from './support/report.js';

/** The report of a simulated day. */
interface DayReport {
  /** Score of the day; at most 1. */
  readonly G: number;
  /** Parts of the score: name, weight, and earned share of the weight. */
  readonly parts: readonly (readonly [string, number, number])[];
  /** Deductions from the score: name, quantity, deducted score. */
  readonly prices: readonly (readonly [string, number, number])[];
  readonly windows: readonly DayWindow[];
  readonly ends: Readonly<Record<string, number>>;
}

/** Results of the requests that began in the same time window. */
interface DayWindow {
  /** Start of the window in seconds. */
  readonly name: number;
  readonly n: number;
  readonly in_aim: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly worth: number;
}

/** Smaller losses are omitted from the table. */
const MIN_SHOWN_LOSS = 0.0005;
/** Number of windows that are printed. */
const WORST_WINDOW_COUNT = 8;

function lossRows({ G, parts, prices }: DayReport): ResultRow[] {
  const ofParts = parts.map(([name, weight, share]) => ({
    what: name,
    loss: weight * (1 - share),
  }));
  const ofPrices = prices.map(([name, , price]) => ({ what: `price: ${name}`, loss: price }));
  const all = [...ofParts, ...ofPrices];
  const explained = all.reduce((sum, { loss }) => sum + loss, 0);
  const rest = { what: 'not explained', loss: 1 - G - explained };
  const shown = [...all, rest].filter(({ loss }) => Math.abs(loss) >= MIN_SHOWN_LOSS);
  return [...shown.sort((a, b) => b.loss - a.loss), { what: 'all', loss: 1 - G }];
}

function worstWindows({ windows }: DayReport): ResultRow[] {
  const worst = [...windows].sort((a, b) => a.worth - b.worth).slice(0, WORST_WINDOW_COUNT);
  return worst.map(({ name, n, in_aim: onTime, late, refused, failed, worth }) => ({
    fromS: name,
    asked: n,
    onTime,
    late,
    refused,
    failed,
    worth,
  }));
}

const file = process.argv[2];
if (file === undefined) {
  process.stderr.write(
    'usage: node bench/dist/binding.js REPORT.json (a file written with --report)\n',
  );
  process.exit(2);
}
const day = JSON.parse(await readFile(file, 'utf8')) as DayReport;
await report('losses in worth', lossRows(day));
await report('worst windows', worstWindows(day));
await report('how tries ended', [day.ends]);
