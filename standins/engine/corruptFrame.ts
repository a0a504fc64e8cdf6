/** Corrupts frames as a faulty engine would. */

import type { TokenFrame } from '../../src/requests/tokenFrame';
import type { EngineFaults } from './engineSettings';

const corruptions: Readonly<
  Record<EngineFaults['spoilBy'], (frame: TokenFrame) => readonly TokenFrame[]>
> = {
  position: (frame) => [{ ...frame, position: frame.position + 1 }],
  request: (frame) => [{ ...frame, request: `${frame.request}-other` }],
  workspace: (frame) => [{ ...frame, workspace: `${frame.workspace}-other` }],
  attempt: (frame) => [{ ...frame, attempt: frame.attempt - 1 }],
  layers: (frame) => [{ ...frame, receipts: frame.receipts.slice(1) }],
  repeat: (frame) => [frame, frame],
};

/**
 * Returns the frames that are sent in place of a valid one.
 *
 * @param frame the valid frame
 * @param kind the field to corrupt, or `repeat` to send the frame twice
 */
export function corruptFrame(
  frame: TokenFrame,
  kind: EngineFaults['spoilBy'],
): readonly TokenFrame[] {
  return corruptions[kind](frame);
}
