/**
 * Tells where a played day lost its worth, from the report of the users' bench: each part of the
 * score, each price and the worst moments, in worth, summing to the gap between the day and 1.
 *
 * node bench/dist/binding.js REPORT.json
 */
import { readFile } from 'node:fs/promises';
import { report } from './support/report.js';
import type { ResultRow } from './support/report.js';

/** Weights and shares of the parts, and the prices, as the bench reports them. */
interface DayReport {
  /** Worth of the day. */
  readonly G: number;
  /** Name, weight, share of the credit earned. */
  readonly parts: readonly (readonly [string, number, number])[];
  /** Name, quantity, price in worth. */
  readonly prices: readonly (readonly [string, number, number])[];
  readonly windows: readonly DayWindow[];
  readonly ends: Readonly<Record<string, number>>;
}

/** Requests that began in the same seconds. */
interface DayWindow {
  /** Second at which the window begins. */
  readonly name: number;
  readonly n: number;
  readonly in_aim: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly worth: number;
}

/** Losses below this are left out of the table. */
const SHOWN_FROM = 0.0005;
/** Windows that are shown. */
const WORST_WINDOWS = 8;

function losses({ G, parts, prices }: DayReport): ResultRow[] {
  const ofParts = parts.map(([name, weight, share]) => ({
    what: name,
    loss: weight * (1 - share),
  }));
  const ofPrices = prices.map(([name, , price]) => ({ what: `price: ${name}`, loss: price }));
  const all = [...ofParts, ...ofPrices];
  const explained = all.reduce((sum, { loss }) => sum + loss, 0);
  const rest = { what: 'not explained', loss: 1 - G - explained };
  const shown = [...all, rest].filter(({ loss }) => Math.abs(loss) >= SHOWN_FROM);
  return [...shown.sort((a, b) => b.loss - a.loss), { what: 'all', loss: 1 - G }];
}

function worstWindows({ windows }: DayReport): ResultRow[] {
  const worst = [...windows].sort((a, b) => a.worth - b.worth).slice(0, WORST_WINDOWS);
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
    'usage: node bench/dist/binding.js REPORT.json, a file written by --report\n',
  );
  process.exit(2);
}
const day = JSON.parse(await readFile(file, 'utf8')) as DayReport;
await report('losses in worth', losses(day));
await report('worst windows', worstWindows(day));
await report('how tries ended', [day.ends]);
