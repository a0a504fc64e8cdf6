/** Requests and replies between VMs over gRPC, encoded as msgpack maps. */

import { z } from 'zod';
import type { NotRun } from '../outcomes/outcome';
import type { CallResult, PlainAnswer, PlainCall } from '../operations/operationMessage';
import type { Incarnation, VmId } from '../vms/vm';
import type { Shape } from './shape';

/** A message of the fleet component, or a call forwarded to the VM that owns its operation. */
export type PeerRequest =
  | { readonly type: 'message'; readonly from: VmId; readonly body: unknown }
  | {
      readonly type: 'forward';
      readonly from: VmId;
      /** Incarnation of the receiver that the call is addressed to. */
      readonly incarnation: Incarnation;
      readonly call: PlainCall;
    };

/** `other-incarnation`: the receiver has another incarnation and did nothing. */
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

const notRunSchema = z.object({
  outcome: z.literal('not-run'),
  reason: z.string(),
  detail: z.string(),
  retryAfterMs: z.number().exactOptional(),
} satisfies Shape<NotRun>);

const unknownOrFailedSchema = z.object({
  outcome: z.enum(['unknown', 'failed']),
  reason: z.string(),
  detail: z.string(),
});

const callResultSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('answered'),
    answer: z.object({
      status: z.number(),
      contentType: z.string(),
      body: z.string(),
    } satisfies Shape<PlainAnswer>),
  }),
  z.object({ type: z.literal('refused'), refusal: z.union([notRunSchema, unknownOrFailedSchema]) }),
]);

/** Schema of a request between VMs. */
export const peerRequestSchema: z.ZodType<PeerRequest> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('message'), from: z.string(), body: z.unknown() }),
  z.object({ type: z.literal('forward'), from: z.string(), incarnation: z.number(), call }),
]);

/** Schema of a reply between VMs. */
export const peerReplySchema: z.ZodType<PeerReply> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('taken') }),
  z.object({ type: z.literal('called'), result: callResultSchema }),
  z.object({ type: z.literal('other-incarnation') }),
]);
