/** Ways in which a faulty engine gets a frame wrong. */

import type { TokenFrame } from '../../src/requests/tokenFrame';
import type { EngineFaults } from './engineSettings';

const spoilers: Readonly<
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
 * Gives the frames that are sent in place of a good one.
 *
 * @param frame the good frame
 * @param how what goes wrong
 */
export function spoilFrame(frame: TokenFrame, how: EngineFaults['spoilBy']): readonly TokenFrame[] {
  return spoilers[how](frame);
}
