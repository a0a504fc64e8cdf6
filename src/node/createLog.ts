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
  /** Fields of every line, such as the VM's id. */
  readonly fields: Readonly<Record<string, string | number>>;
  /** Writes one formatted line. */
  readonly output?: (line: string) => void;
}

/** Symbol under which winston's formatter stores the formatted line. */
const LINE = Symbol.for('message');

/**
 * Creates the log.
 *
 * @param options the fields of every line, and the output
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
