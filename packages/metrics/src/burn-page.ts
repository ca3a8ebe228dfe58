/**
 * Renders the burn report as text and as a self-contained HTML page with plots.
 */
import type { BurnRow, BurnSeries } from './burn.js';
import { ERROR_BUDGET_SHARE, burnReport } from './burn.js';

const PLOT_WIDTH = 640;
const PLOT_HEIGHT = 120;
const PLOT_SPAN_MS = 3_600_000;
const PLOT_STEP_MS = 60_000;

/** Formats the report as a table for a terminal. */
export function burnTable(rows: readonly BurnRow[]): string {
  const header = ['service', 'target', 'window', 'events', 'missed', 'burn'];
  const lines = rows.map((row) => [
    row.service,
    row.target,
    row.window,
    String(row.events),
    String(row.missed),
    row.burn.toFixed(2),
  ]);
  const widths = header.map((title, column) =>
    Math.max(title.length, ...lines.map((line) => line[column]?.length ?? 0)),
  );
  const format = (cells: readonly string[]): string =>
    cells
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return [header, ...lines].map(format).join('\n');
}

/** Formats the report as an HTML page. */
export function burnPage(series: readonly BurnSeries[]): string {
  const rows = burnReport(series);
  const body = rows.map(
    (row) =>
      `<tr class="${row.burn > 1 ? 'over' : 'within'}"><td>${escapeHtml(row.service)}</td>` +
      `<td>${row.target}</td><td>${row.window}</td><td>${row.events}</td>` +
      `<td>${row.missed}</td><td>${row.burn.toFixed(2)}</td></tr>`,
  );
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>',
    '<style>body{font:14px sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:left}',
    '.over{color:#a00;font-weight:bold}svg{background:#f6f6f6;display:block}</style></head><body>',
    '<h1>Service-level burn</h1>',
    `<p>Budget: ${ERROR_BUDGET_SHARE * 100} in 100 events may miss their target. `,
    'A burn above 1 spends more than that.</p>',
    '<table><tr><th>service</th><th>target</th><th>window</th><th>events</th><th>missed</th>',
    `<th>burn</th></tr>${body.join('')}</table>`,
    '<h2>Last hour, by minute</h2>',
    ...mergeSeries(series).map(plot),
    '</body></html>',
  ].join('\n');
}

function mergeSeries(allSeries: readonly BurnSeries[]): BurnSeries[] {
  const merged = new Map<string, BurnSeries>();
  for (const series of allSeries) {
    const key = `${series.service}|${series.target}`;
    const buckets = [...(merged.get(key)?.buckets ?? []), ...series.buckets];
    merged.set(key, { ...series, buckets });
  }
  return [...merged.values()];
}

function plot(series: BurnSeries): string {
  const points: string[] = [];
  const burns = minuteBurns(series);
  const maxBurn = Math.max(2, ...burns);
  for (const [minute, burn] of burns.entries()) {
    const x = PLOT_WIDTH - (minute * PLOT_WIDTH * PLOT_STEP_MS) / PLOT_SPAN_MS;
    const y = PLOT_HEIGHT - (burn / maxBurn) * PLOT_HEIGHT;
    points.push(`${x.toFixed(1)},${y.toFixed(1)}`);
  }
  const budgetLineY = PLOT_HEIGHT - PLOT_HEIGHT / maxBurn;
  return (
    `<h3>${escapeHtml(series.service)}: ${series.target} (top ${maxBurn.toFixed(1)})</h3>` +
    `<svg width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}" role="img">` +
    `<line x1="0" x2="${PLOT_WIDTH}" y1="${budgetLineY}" y2="${budgetLineY}" stroke="#a00" stroke-dasharray="4"/>` +
    `<polyline fill="none" stroke="#06c" points="${points.join(' ')}"/></svg>`
  );
}

function minuteBurns(series: BurnSeries): number[] {
  const count = PLOT_SPAN_MS / PLOT_STEP_MS;
  const totals = Array.from({ length: count }, () => ({ good: 0, bad: 0 }));
  for (const bucket of series.buckets) {
    const total = totals[Math.floor(bucket.ageMs / PLOT_STEP_MS)];
    if (total === undefined) continue;
    total.good += bucket.good;
    total.bad += bucket.bad;
  }
  return totals.map(({ good, bad }) =>
    good + bad === 0 ? 0 : bad / (good + bad) / ERROR_BUDGET_SHARE,
  );
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
