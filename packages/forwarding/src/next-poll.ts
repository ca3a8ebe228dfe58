/**
 * Waits for the event loop to poll all sockets.
 */

/**
 * Turns of the event loop until the end of a connection that has reached this process is reported
 * to the reader of its response: one to poll the socket, one for each buffer that it passes.
 */
const TURNS = 3;

/** Resolves after ends of connections that have arrived by now were reported. */
export async function nextPoll(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
