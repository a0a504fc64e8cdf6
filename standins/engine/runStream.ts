/** A stream on the first engine of a route: one frame for each token, until the answer ends. */

import type { StreamMessage, StreamOrder } from '../../src/contracts/engineContract';
import type { TokenFrame } from '../../src/requests/tokenFrame';
import { embedSequence, readToken } from './computeToken';
import { runStage, type StageHost, type StageResult } from './runStage';
import { spoilFrame } from './spoilFrame';

export interface StreamHost extends StageHost {
  /** Takes one spoilt frame off the fault's count; false where there is none left. */
  readonly takeSpoilt: () => boolean;
}

/**
 * Runs a stream to its end.
 *
 * @param host the engine
 * @param order what to run
 * @param send gives one message to the router; false where it is gone
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
    const frames = host.takeSpoilt() ? spoilFrame(frame, host.faults().spoilBy) : [frame];
    const isSent = frames.every((item) => send({ type: 'frame', frame: item }));
    if (!isSent || frame.finish !== undefined) return;
    const cutAfter = host.faults().cutAfterFrames;
    if (cutAfter > 0 && position + 1 - order.delivered.length >= cutAfter) return;
  }
}

function createFrame(
  order: StreamOrder,
  position: number,
  result: Extract<StageResult, { readonly type: 'ran' }>,
): TokenFrame {
  const { token, text, stops } = readToken(result.activation);
  const frame = {
    request: order.request,
    workspace: order.workspace,
    attempt: order.attempt,
    position,
    token,
    text,
    receipts: result.receipts,
  };
  if (stops) return { ...frame, finish: 'stop' };
  return position + 1 === order.maxTokens ? { ...frame, finish: 'length' } : frame;
}
