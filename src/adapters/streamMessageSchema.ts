/** Schema of the messages that an engine sends on a stream. */

import { z } from 'zod';
import type { StreamMessage } from '../contracts/engineContract';
import type { Receipt, TokenFrame } from '../requests/tokenFrame';
import type { Shape } from './shape';

const receipt = z.object({
  engine: z.string(),
  layers: z.object({ from: z.number(), to: z.number() }),
  attempt: z.number(),
  position: z.number(),
} satisfies Shape<Receipt>);

const frame = z.object({
  request: z.string(),
  workspace: z.string(),
  attempt: z.number(),
  position: z.number(),
  token: z.number(),
  text: z.string(),
  receipts: z.array(receipt),
  finish: z.enum(['stop', 'length']).exactOptional(),
} satisfies Shape<TokenFrame>);

/** Schema of one line of an engine's stream. */
export const streamMessageSchema: z.ZodType<StreamMessage> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('frame'), frame }),
  z.object({ type: z.literal('stage-failed'), engine: z.string(), detail: z.string() }),
  z.object({
    type: z.literal('refused'),
    reason: z.enum(['overloaded', 'leaving', 'wrong-layers']),
  }),
]);
