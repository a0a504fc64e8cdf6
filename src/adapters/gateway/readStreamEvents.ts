/** Reads the events of a stream's reply until it ends. */

import type { IncomingMessage } from 'node:http';
import { createEventSplitter } from '../../gateway/createEventSplitter';
import type { StreamEvent } from '../../gateway/splitEvents';
import type { AttemptOutcome } from './attemptOutcome';
import { isFramed } from './isFramed';

export interface StreamEventHandlers {
  /** Whether the attempt has ended for another reason; no handler is called then. */
  readonly isOver: () => boolean;
  readonly onEvents: (events: readonly StreamEvent[]) => void;
  /** May be called more than once; the first counts. */
  readonly onEnd: (outcome: AttemptOutcome) => void;
}

/** Starts to read. Events are passed on whole. */
export function readStreamEvents(reply: IncomingMessage, handlers: StreamEventHandlers): void {
  const { isOver, onEvents, onEnd } = handlers;
  const splitter = createEventSplitter();
  reply.on('data', (chunk: Buffer) => {
    if (isOver()) return;
    const { events, isOversized } = splitter.split(chunk);
    onEvents(events);
    if (isOversized) onEnd({ type: 'broken', detail: 'body too large', isOversized });
  });
  reply.on('end', () => {
    if (reply.complete && !splitter.hasRest())
      onEnd({ type: 'complete', isFramed: isFramed(reply) });
    else onEnd({ type: 'broken', detail: 'ended early', isLost: true });
  });
  reply.on('error', (error) => {
    onEnd({ type: 'broken', detail: error.message, isLost: true });
  });
  reply.on('close', () => {
    onEnd({ type: 'broken', detail: 'closed', isLost: true });
  });
}
