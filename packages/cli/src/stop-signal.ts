/**
 * Graceful shutdown of daemons on signals.
 */
import type { Logger } from '@shedline/logger';

/** Runs `stop` once on SIGTERM or SIGINT, then exits with 0, or with 1 if `stop` failed. */
export function stopOnSignal(logger: Logger, stop: () => Promise<void>): void {
  let isStopping = false;
  const onSignal = (signal: NodeJS.Signals): void => {
    if (isStopping) return;
    isStopping = true;
    logger.info('stopping', { step: 'stop', signal });
    stop().then(
      () => process.exit(0),
      (error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        logger.error('stop failed', { step: 'stop', reason });
        process.exit(1);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
