/**
 * Verifies that each layer of the model ran exactly once for a token, in order, on the stages of the
 * current attempt's route, and that the token is at the next position. A frame that fails any check is
 * dropped and never delivered.
 */

import type { Stage } from '../pipelines/route';
import type { RunningRequest } from './runningRequest';
import type { AttemptNumber, Receipt, TokenFrame } from './tokenFrame';

/** Reason for dropping a frame; also a label value of the counter of dropped frames. */
export type FrameFault =
  | 'not-streaming'
  | 'other-request'
  | 'other-workspace'
  | 'other-attempt'
  | 'repeated-position'
  | 'skipped-position'
  | 'beyond-limit'
  | 'not-a-token'
  | 'stage-count'
  | 'other-stage'
  | 'receipt-attempt'
  | 'receipt-position'
  | 'layers-not-tiled';

/**
 * Checks a frame against the request that it claims to belong to.
 *
 * @param running the router's state of the request
 * @param streamAttempt the attempt of the stream that carried the frame
 * @param frame the frame
 * @returns undefined if the token may be delivered, else the first fault found
 */
export function checkFrame(
  running: RunningRequest,
  streamAttempt: AttemptNumber,
  frame: TokenFrame,
): FrameFault | undefined {
  return (
    findBindingFault(running, streamAttempt, frame) ??
    findPositionFault(running, frame) ??
    findReceiptFault(running, frame)
  );
}

function findBindingFault(
  running: RunningRequest,
  streamAttempt: AttemptNumber,
  frame: TokenFrame,
): FrameFault | undefined {
  if (running.phase !== 'streaming') return 'not-streaming';
  if (frame.request !== running.request.id) return 'other-request';
  if (frame.workspace !== running.request.workspace) return 'other-workspace';
  const isCurrent = frame.attempt === running.attempt && streamAttempt === running.attempt;
  return isCurrent ? undefined : 'other-attempt';
}

function findPositionFault(running: RunningRequest, frame: TokenFrame): FrameFault | undefined {
  if (frame.position < running.deliveredCount) return 'repeated-position';
  if (frame.position !== running.deliveredCount) return 'skipped-position';
  if (frame.position >= running.request.maxTokens) return 'beyond-limit';
  return Number.isSafeInteger(frame.token) ? undefined : 'not-a-token';
}

function findReceiptFault(running: RunningRequest, frame: TokenFrame): FrameFault | undefined {
  const { receipts } = frame;
  if (receipts.length !== running.route.length) return 'stage-count';
  let nextLayer = 0;
  for (const [index, stage] of running.route.entries()) {
    const receipt = receipts[index];
    if (receipt === undefined) return 'stage-count';
    const fault = compareReceipt(receipt, stage, running);
    if (fault !== undefined) return fault;
    if (receipt.layers.from !== nextLayer) return 'layers-not-tiled';
    nextLayer = receipt.layers.to;
  }
  return nextLayer === running.layers ? undefined : 'layers-not-tiled';
}

function compareReceipt(
  receipt: Receipt,
  stage: Stage,
  running: RunningRequest,
): FrameFault | undefined {
  if (receipt.engine !== stage.engine) return 'other-stage';
  if (receipt.layers.from !== stage.layers.from) return 'layers-not-tiled';
  if (receipt.layers.to !== stage.layers.to) return 'layers-not-tiled';
  if (receipt.attempt !== running.attempt) return 'receipt-attempt';
  return receipt.position === running.deliveredCount ? undefined : 'receipt-position';
}
