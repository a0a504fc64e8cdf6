/**
 * Shares the processor among bodies that are received. The load: a crowd, or a faulty server, that sends its bodies in
 * chunks of one byte, each of which takes about as much time as a large one. A body may cause a bounded amount of work; then its connection is not
 * read until its turn comes, which goes to the body that has caused least. A single body does not wait. With several,
 * as much time as a turn has taken is left to other work after it, and the number of costly bodies is bounded.
 */

export interface ReadTurns {
  /** Begins to count the work of a body. */
  readonly open: (id: number) => ReadMeter;
  /** Begins a turn; returns the body whose connection is to be read again, undefined if none waits. */
  readonly next: () => number | undefined;
  /** Time until the next turn, milliseconds; undefined if no body waits. */
  readonly dueInMs: () => number | undefined;
}

export interface ReadMeter {
  /** Records a piece of the body. */
  readonly spend: (bytes: number) => ReadDecision;
  /** Ends the count of a body that has ended. */
  readonly close: () => void;
}

/** Whether a connection is read on, waits for its turn, or has to be refused. */
export type ReadDecision = 'continue' | 'wait' | 'refuse';

export interface ReadTurnOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Costly bodies that are received at the same time; a further one is refused. Without it, all wait. */
  readonly maxCostly?: number | undefined;
}

/** Work of a turn, in pieces; ordinary bodies need no second turn. */
const TURN_PIECES = 512;

/** Bytes that take about as long to receive as the overhead of a piece. */
const BYTES_PER_PIECE = 512;

/** A body is costly if it has so many pieces that are this small on average. */
const COSTLY_PIECES = 16_384;
const COSTLY_PIECE_BYTES = 64;

/** Longest time that is left to other work after a turn, milliseconds. */
const MAX_REST_MS = 50;

interface Reader {
  readonly pieces: () => number;
  readonly beginTurn: () => void;
}

export function createReadTurns({ now, maxCostly = Infinity }: ReadTurnOptions): ReadTurns {
  const readers = new Map<number, Reader>();
  const waiting = new Set<number>();
  const costly = new Set<number>();
  let nextTurnMs = Number.NEGATIVE_INFINITY;
  const piecesOf = (id: number): number => readers.get(id)?.pieces() ?? 0;
  return {
    open: (id) => {
      let pieces = 0;
      let bytes = 0;
      /** Work left in the current turn, pieces. */
      let left = TURN_PIECES;
      let turnBeganMs = now();
      readers.set(id, {
        pieces: () => pieces,
        beginTurn: () => {
          left = TURN_PIECES;
        },
      });
      const isCostly = (): boolean =>
        pieces >= COSTLY_PIECES && bytes < pieces * COSTLY_PIECE_BYTES;
      return {
        spend: (pieceBytes) => {
          if (left === TURN_PIECES) turnBeganMs = now();
          pieces += 1;
          bytes += pieceBytes;
          left -= 1 + pieceBytes / BYTES_PER_PIECE;
          if (left > 0) return 'continue';
          if (isCostly()) {
            if (!costly.has(id) && costly.size >= maxCostly) return 'refuse';
            costly.add(id);
          }
          waiting.add(id);
          const nowMs = now();
          nextTurnMs = nowMs + Math.min(MAX_REST_MS, nowMs - turnBeganMs);
          return 'wait';
        },
        close: () => {
          readers.delete(id);
          waiting.delete(id);
          costly.delete(id);
        },
      };
    },
    next: () => {
      if (waiting.size === 0) return undefined;
      const id = [...waiting].reduce((least, one) =>
        piecesOf(one) < piecesOf(least) ? one : least,
      );
      waiting.delete(id);
      readers.get(id)?.beginTurn();
      return id;
    },
    dueInMs: () => {
      if (waiting.size === 0) return undefined;
      return waiting.size === 1 ? 0 : Math.max(0, nextTurnMs - now());
    },
  };
}
