/** Turns on the processor of bodies that arrive. */

import type { IncomingMessage } from 'node:http';
import type { ReadDecision } from './createReadTurns';

export interface ConnectionTurns {
  /** Begins to count the work that a body causes, before its first piece is read. */
  readonly open: (message: IncomingMessage) => ConnectionTurn;
}

export interface ConnectionTurn {
  /** Records a piece, and stops to read the connection where the body has to wait or is refused. */
  readonly spend: (bytes: number) => ReadDecision;
  /** Reads the connection no further. */
  readonly stop: () => void;
  /** Ends the count of a body that has ended; its connection is read on. */
  readonly end: () => void;
  /** Ends the count. */
  readonly close: () => void;
}
