/**
 * Time limit for the reply to a request.
 */

/**
 * Starts a timer for a reply. If this process was suspended, the timer is due before the replies that
 * arrived meanwhile are read; `onExpired` is called after they were read. It may therefore still be
 * called after the timer is cleared, and has to ignore a reply that was received.
 */
export function startReplyTimeout(timeoutMs: number, onExpired: () => void): NodeJS.Timeout {
  return setTimeout(() => {
    setImmediate(onExpired);
  }, timeoutMs);
}
