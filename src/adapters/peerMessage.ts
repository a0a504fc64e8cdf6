/** What one VM asks of another on the reliable channel; bodies are msgpack maps. */

import { z } from 'zod';
import type { NotRun } from '../outcomes/outcome';
import type { CallResult, PlainAnswer, PlainCall } from '../operations/operationMessage';
import type { Incarnation, VmId } from '../vms/vm';
import type { Shape } from './shape';

/** A message of the fleet side, or a call that belongs to the receiver as its home. */
export type PeerAsk =
  | { readonly type: 'message'; readonly from: VmId; readonly body: unknown }
  | {
      readonly type: 'forward';
      readonly from: VmId;
      /** The life of the receiver that the call is meant for. */
      readonly incarnation: Incarnation;
      readonly call: PlainCall;
    };

/** `other-incarnation`: the receiver is not the life that was meant; nothing was done. */
export type PeerReply =
  | { readonly type: 'taken' }
  | { readonly type: 'called'; readonly result: CallResult }
  | { readonly type: 'other-incarnation' };

const call: z.ZodType<PlainCall> = z.object({
  call: z.string(),
  workspace: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  body: z.string(),
  contentType: z.string(),
  operation: z.string().exactOptional(),
  forwardedBy: z.string().exactOptional(),
  asksOutcome: z.boolean().exactOptional(),
} satisfies Shape<PlainCall>);

const notRun = z.object({
  outcome: z.literal('not-run'),
  reason: z.string(),
  detail: z.string(),
  retryAfterMs: z.number().exactOptional(),
} satisfies Shape<NotRun>);

const ranOrMayHave = z.object({
  outcome: z.enum(['unknown', 'failed']),
  reason: z.string(),
  detail: z.string(),
});

const callResult = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('answered'),
    answer: z.object({
      status: z.number(),
      contentType: z.string(),
      body: z.string(),
    } satisfies Shape<PlainAnswer>),
  }),
  z.object({ type: z.literal('refused'), refusal: z.union([notRun, ranOrMayHave]) }),
]);

/** Schema of an ask. */
export const peerAskSchema: z.ZodType<PeerAsk> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('message'), from: z.string(), body: z.unknown() }),
  z.object({ type: z.literal('forward'), from: z.string(), incarnation: z.number(), call }),
]);

/** Schema of a reply. */
export const peerReplySchema: z.ZodType<PeerReply> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('taken') }),
  z.object({ type: z.literal('called'), result: callResult }),
  z.object({ type: z.literal('other-incarnation') }),
]);
