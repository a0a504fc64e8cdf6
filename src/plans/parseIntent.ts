/** Validates an intent received from an operator. */

import { z } from 'zod';
import { objectSchemas, changeSchema } from '../configuration/revisionSchema';
import type { Impossible } from './draft';
import type { Intent } from './intent';

const id = z.string().min(1);
const idList = z.array(id).min(1);

/** Keeps the need of a model service, which the schema of the rows does not contain. */
const service = z.unknown().transform((value, context) => {
  const checked = objectSchemas.service.safeParse(value);
  const need = z
    .object({ neededTokensPerSecond: z.number().positive().optional() })
    .safeParse(value);
  if (checked.success && need.success) return { ...(checked.data as object), ...need.data };
  context.addIssue({ code: 'custom', message: (checked.error ?? need.error)?.message ?? '' });
  return z.NEVER;
});

const intentSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('put-service'), service }),
  z.object({ type: z.literal('retire-service'), workspace: id, service: id }),
  z.object({ type: z.literal('move-model'), model: id, from: idList, to: idList }),
  z.object({
    type: z.literal('add-backend-server'),
    server: objectSchemas.backendServer,
    engine: objectSchemas.engine.optional(),
  }),
  z.object({ type: z.literal('retire-backend-server'), server: id }),
  z.object({ type: z.literal('replace-engine'), lost: id, by: id }),
  z.object({ type: z.literal('retire-vm'), vm: id }),
  z.object({ type: z.literal('put-workspace'), workspace: objectSchemas.workspace }),
  z.object({
    type: z.literal('set-engine'),
    engine: id,
    role: z.enum(['mixed', 'prefill', 'decode', 'idle']).optional(),
    modelVersion: id.optional(),
    adapter: id.optional(),
  }),
  z.object({ type: z.literal('describe-site'), changes: z.array(changeSchema) }),
]);

export type ParsedIntent = { readonly type: 'parsed'; readonly intent: Intent } | Impossible;

/** Parses an intent; the result for a malformed one names the invalid fields. */
export function parseIntent(value: unknown): ParsedIntent {
  const checked = intentSchema.safeParse(value);
  if (checked.success) return { type: 'parsed', intent: checked.data as Intent };
  const problem = `The intent is malformed: ${z.prettifyError(checked.error)}`;
  const remedy = 'docs/operators/plans.md gives the fields of each intent';
  return { type: 'impossible', problems: [{ problem, remedy }] };
}
