/**
 * Output of the benchmarks: a table on standard output and a JSON file.
 */
import { mkdir, writeFile } from 'node:fs/promises';

/** One row of a result table, by column name. */
export type ResultRow = Readonly<Record<string, string | number>>;

/** Prints rows as a table and writes them as JSON into `bench/out`. */
export async function report(name: string, rows: readonly ResultRow[]): Promise<void> {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) => columns.map((column) => format(row[column])));
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((line) => line[index]?.length ?? 0)),
  );
  const line = (texts: readonly string[]): string =>
    texts.map((text, index) => text.padStart(widths[index] ?? 0)).join('  ');
  process.stdout.write(`\n${name}\n${[line(columns), ...cells.map(line)].join('\n')}\n`);
  await mkdir('bench/out', { recursive: true });
  await writeFile(`bench/out/${name}.json`, JSON.stringify(rows, null, 2));
}

/** Returns the median, or 0 for an empty list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Returns a percentile; `percent` is between 0 and 100. */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor((sorted.length * percent) / 100))] ?? 0;
}

/** Waits for `pauseMs` milliseconds. */
export function pause(pauseMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, pauseMs));
}

function format(value: string | number | undefined): string {
  if (value === undefined) return '';
  if (typeof value === 'string') return value;
  return Number.isInteger(value) ? String(value) : value.toFixed(value < 10 ? 3 : 1);
}
