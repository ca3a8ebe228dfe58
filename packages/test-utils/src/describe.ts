/**
 * Nested `describe` blocks for ava, which has only flat titles.
 */

const titles: string[] = [];

/** Runs `body`; titles made inside it by {@link title} begin with `name`. */
export function describe(name: string, body: () => void): void {
  titles.push(name);
  try {
    body();
  } finally {
    titles.pop();
  }
}

/** The full title of a test inside the current `describe` blocks. */
export function title(name: string): string {
  return [...titles, name].join(' > ');
}
