/**
 * Nested `describe` blocks for ava, which only has flat test titles.
 */

const titles: string[] = [];

/** Runs `body`; titles that {@link title} creates inside it begin with `name`. */
export function describe(name: string, body: () => void): void {
  titles.push(name);
  try {
    body();
  } finally {
    titles.pop();
  }
}

/** Returns the full title of a test, prefixed with the current `describe` blocks. */
export function title(name: string): string {
  return [...titles, name].join(' > ');
}
