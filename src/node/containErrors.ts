/**
 * Keeps an error that no handler foresees from ending the process, and with it all requests that it serves. What the
 * error interrupted is lost; each request has handlers of its own that answer it.
 */

import type { LogFields } from '../gateway/job';

export interface ContainErrorsOptions {
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label: string) => void;
}

const describe = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);

/** Logs and counts such errors from now on. */
export function containErrors({ log, count }: ContainErrorsOptions): void {
  const report =
    (origin: string) =>
    (error: unknown): void => {
      count('unexpected_errors', origin);
      log('unexpected error', { origin, error: describe(error) });
    };
  process.on('uncaughtException', report('exception'));
  process.on('unhandledRejection', report('rejection'));
  // A reader that has gone must not end the process when the runtime writes a warning.
  process.stderr.on('error', report('standard error'));
}
