/**
 * Receives the bodies of callers' requests, so that they can be sent again where the route allows retries. All bodies
 * of a VM share a bounded memory and take turns on the processor; a body that is refused is read no further.
 */

import type { IncomingMessage } from 'node:http';
import { chooseRefusedBody } from '../../intake/chooseRefusedBody';
import type { OpenBody } from '../../intake/openBody';
import { createConnectionTurns } from './createConnectionTurns';

/** Bound that a refused body has met. */
export type BodyBound =
  /** The route's limit on the size of a body. */
  | 'too-large'
  /** The memory for the bodies of all requests. */
  | 'no-memory'
  /** The number of bodies in tiny pieces. */
  | 'too-many-pieces'
  /** The time to send it, or to send nothing of it. */
  | 'too-slow';

export type ReceivedBody =
  | { readonly type: 'whole'; readonly body: Buffer | undefined }
  | { readonly type: 'refused'; readonly bound: BodyBound }
  /** The caller left before the end of the body. */
  | { readonly type: 'cut' };

export interface BodyOptions {
  /** Maximum size of the body. */
  readonly maxBytes: number;
  /** Sender; bodies of one source count together. */
  readonly source: string;
  /** Time until the body must be complete, milliseconds. */
  readonly expiresInMs: number;
  /** Longest time without a piece, milliseconds. */
  readonly maxPauseMs: number;
}

export interface BodyIntake {
  /** Receives a body. Its memory is held until `release` of the same request. */
  readonly receive: (request: IncomingMessage, options: BodyOptions) => Promise<ReceivedBody>;
  /** Gives back the memory of a request's body. */
  readonly release: (request: IncomingMessage) => void;
  /** Memory that all bodies hold, bytes. */
  readonly heldBytes: () => number;
  /** Number of incomplete bodies. */
  readonly incomplete: () => number;
}

export interface BodyIntakeOptions {
  /** Memory for the bodies of all requests. */
  readonly bodyBytes: number;
  /** Bodies in tiny pieces that are received at the same time. */
  readonly costlyBodies: number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

interface Reception {
  readonly request: IncomingMessage;
  readonly describe: () => OpenBody;
  readonly addHeld: (bytes: number) => void;
  readonly refuse: (bound: BodyBound) => void;
}

/** Memory of an incomplete body besides its bytes: the request, and what the system has buffered for it. */
const OVERHEAD_BYTES = 32 * 1024;

/** Sizes of the blocks in which a body of unknown length is kept. */
const FIRST_BLOCK_BYTES = 4 * 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

export function createBodyIntake(options: BodyIntakeOptions): BodyIntake {
  const { bodyBytes, now } = options;
  const turns = createConnectionTurns({ now, costlyBodies: options.costlyBodies });
  const incomplete = new Map<number, Reception>();
  const held = new Map<IncomingMessage, number>();
  let heldBytes = 0;
  let lastId = 0;

  const hold = (request: IncomingMessage, bytes: number): void => {
    heldBytes += bytes - (held.get(request) ?? 0);
    if (bytes === 0) held.delete(request);
    else held.set(request, bytes);
  };
  /** @returns whether the memory is reserved; otherwise the body has been refused */
  const reserve = (id: number, bytes: number): boolean => {
    while (heldBytes + bytes > bodyBytes) {
      const bodies = [...incomplete.values()].map(({ describe }) => describe());
      const chosen = chooseRefusedBody({ id, bytes, bodies, nowMs: now() });
      incomplete.get(chosen ?? id)?.refuse('no-memory');
      if (!incomplete.has(id)) return false;
    }
    const reception = incomplete.get(id);
    if (reception === undefined) return false;
    reception.addHeld(bytes);
    return true;
  };

  const receive: BodyIntake['receive'] = (request, { maxBytes, source, ...times }) => {
    const announced = request.headers['content-length'];
    if (announced === undefined && request.headers['transfer-encoding'] === undefined)
      return Promise.resolve({ type: 'whole', body: undefined });
    if (Number(announced ?? 0) > maxBytes)
      return Promise.resolve({ type: 'refused', bound: 'too-large' });
    lastId += 1;
    const id = lastId;
    let blocks: readonly Buffer[] = [];
    /** Bytes used of the last block. */
    let used = 0;
    let length = 0;
    let ownHeldBytes = 0;
    let lastPieceMs = now();
    const turn = turns.open(request);
    return new Promise((resolve) => {
      const finish = (received: ReceivedBody): void => {
        if (!incomplete.delete(id)) return;
        clearTimeout(expiry);
        clearTimeout(pause);
        turn.close();
        if (received.type !== 'whole') {
          blocks = [];
          hold(request, 0);
        }
        resolve(received);
      };
      const refuse = (bound: BodyBound): void => {
        turn.stop();
        finish({ type: 'refused', bound });
      };
      const refuseSlow = (): void => {
        refuse('too-slow');
      };
      const expiry = setTimeout(refuseSlow, times.expiresInMs);
      const checkPause = (): void => {
        const leftMs = lastPieceMs + times.maxPauseMs - now();
        if (leftMs <= 0) refuseSlow();
        else pause = setTimeout(checkPause, leftMs);
      };
      let pause = setTimeout(checkPause, times.maxPauseMs);
      const append = (piece: Buffer): boolean => {
        let offset = 0;
        while (offset < piece.length) {
          const last = blocks.at(-1);
          if (last === undefined || used === last.length) {
            const size = computeBlockBytes(last?.length, Number(announced ?? 0) - length);
            if (!reserve(id, size)) return false;
            blocks = [...blocks, Buffer.allocUnsafeSlow(size)];
            used = 0;
            continue;
          }
          const copied = piece.copy(last, used, offset);
          offset += copied;
          used += copied;
          length += copied;
        }
        return true;
      };
      incomplete.set(id, {
        request,
        describe: () => ({ id, source, heldBytes: ownHeldBytes, lastPieceMs }),
        addHeld: (bytes) => {
          ownHeldBytes += bytes;
          hold(request, ownHeldBytes);
        },
        refuse,
      });
      if (!reserve(id, OVERHEAD_BYTES)) return;
      request.on('data', (piece: Buffer) => {
        if (!incomplete.has(id)) return;
        lastPieceMs = now();
        if (length + piece.length > maxBytes) {
          refuse('too-large');
          return;
        }
        if (!append(piece)) return;
        if (turn.spend(piece.length) === 'refuse') refuse('too-many-pieces');
      });
      request.on('end', () => {
        turn.end();
        const [only] = blocks;
        if (blocks.length < 2) {
          finish({ type: 'whole', body: only?.subarray(0, length) ?? Buffer.alloc(0) });
          return;
        }
        if (!reserve(id, length)) return;
        const body = Buffer.allocUnsafeSlow(length);
        let offset = 0;
        for (const block of blocks) offset += block.copy(body, offset, 0, length - offset);
        hold(request, length);
        finish({ type: 'whole', body });
      });
      const cut = (): void => {
        finish({ type: 'cut' });
      };
      request.on('close', cut);
      request.on('error', cut);
    });
  };
  return {
    receive,
    release: (request) => {
      hold(request, 0);
    },
    heldBytes: () => heldBytes,
    incomplete: () => incomplete.size,
  };
}

/**
 * @param previous size of the block before
 * @param announced bytes still to come, if the caller has stated a length; otherwise 0 or less
 */
function computeBlockBytes(previous: number | undefined, announced: number): number {
  if (announced > 0) return Math.min(announced, MAX_BLOCK_BYTES);
  return previous === undefined ? FIRST_BLOCK_BYTES : Math.min(4 * previous, MAX_BLOCK_BYTES);
}
