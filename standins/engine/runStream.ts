/** Runs a stream on the first engine of a route and sends one frame per token until the answer ends. */

import type { StreamMessage, StreamOrder } from '../../src/contracts/engineContract';
import type { TokenFrame } from '../../src/requests/tokenFrame';
import { embedSequence, decodeToken } from './computeToken';
import { runStage, type StageHost, type StageResult } from './runStage';
import { corruptFrame } from './corruptFrame';

export interface StreamHost extends StageHost {
  /** Counts down the frames to corrupt; false when none is left. */
  readonly consumeFrameFault: () => boolean;
}

/**
 * Runs a stream to its end.
 *
 * @param host the engine
 * @param order the prompt, the tokens delivered so far and the route
 * @param send sends one message to the router; false when the router has disconnected
 */
export async function runStream(
  host: StreamHost,
  order: StreamOrder,
  send: (message: StreamMessage) => boolean,
): Promise<void> {
  const sequence = [...order.prompt, ...order.delivered];
  for (let position = order.delivered.length; position < order.maxTokens; position += 1) {
    const result = await runStage(host, {
      request: order.request,
      attempt: order.attempt,
      position,
      tokens: sequence.length,
      activation: embedSequence(order.model, sequence),
      route: order.route,
    });
    if (host.isCancelled(order.request, order.attempt)) return;
    if (result.type !== 'ran') {
      send(result);
      return;
    }
    const frame = createFrame(order, position, result);
    sequence.push(frame.token);
    const frames = host.consumeFrameFault() ? corruptFrame(frame, host.faults().spoilBy) : [frame];
    const isSent = frames.every((item) => send({ type: 'frame', frame: item }));
    if (!isSent || frame.finish !== undefined) return;
    const truncateAfter = host.faults().cutAfterFrames;
    if (truncateAfter > 0 && position + 1 - order.delivered.length >= truncateAfter) return;
  }
}

function createFrame(
  order: StreamOrder,
  position: number,
  result: Extract<StageResult, { readonly type: 'ran' }>,
): TokenFrame {
  const { token, text, isStop } = decodeToken(result.activation);
  const frame = {
    request: order.request,
    workspace: order.workspace,
    attempt: order.attempt,
    position,
    token,
    text,
    receipts: result.receipts,
  };
  if (isStop) return { ...frame, finish: 'stop' };
  return position + 1 === order.maxTokens ? { ...frame, finish: 'length' } : frame;
}
