/** The daemon's log: JSON lines on standard error, only for changes of state. */

import { Writable } from 'node:stream';
import { createLogger, format } from 'winston';

export interface Log {
  readonly write: (
    level: 'info' | 'warn' | 'error',
    message: string,
    fields?: Readonly<Record<string, string | number | boolean>>,
  ) => void;
}

export interface LogOptions {
  /** Added to each line, the VM's id among them. */
  readonly fields: Readonly<Record<string, string | number>>;
  /** Takes each finished line. */
  readonly output?: (line: string) => void;
}

/** Under this symbol the formatter leaves the finished line. */
const LINE = Symbol.for('message');

/**
 * Creates the log.
 *
 * @param options what every line carries, and where lines go
 */
export function createLog(options: LogOptions): Log {
  const { fields, output = writeToStandardError } = options;
  const lines = new Writable({
    objectMode: true,
    write: (info: Readonly<Record<symbol, unknown>>, _encoding, next) => {
      output(String(info[LINE]));
      next();
    },
  });
  const logger = createLogger({
    level: 'info',
    defaultMeta: fields,
    format: format.combine(format.timestamp(), format.json()),
  });
  logger.pipe(lines);
  return {
    write: (level, message, more = {}) => {
      logger.log(level, message, more);
    },
  };
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}
