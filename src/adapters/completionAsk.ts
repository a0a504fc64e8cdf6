/** What a caller asks of a model, in the completion style that client libraries speak. */

import { z } from 'zod';
import type { Priority } from '../requests/request';
import { DEFAULT_ANSWER_TOKENS } from './constants';
import { encodeText } from './encodeText';

/** An ask of either style, with the prompt as token ids. */
export interface CompletionAsk {
  /** Name of the service in the caller's workspace. */
  readonly service: string;
  readonly prompt: readonly number[];
  readonly maxTokens: number;
  readonly isStream: boolean;
  /** Whether a stream ends with a chunk that counts the tokens. */
  readonly includesUsage: boolean;
  readonly priority: Priority;
}

export type CompletionAskResult =
  | { readonly type: 'valid'; readonly ask: CompletionAsk }
  | {
      readonly type: 'invalid';
      readonly reason: 'invalid-request' | 'unsupported-parameter';
      readonly detail: string;
    };

/** Which of the two styles a caller speaks. */
export type CompletionStyle = 'completion' | 'chat';

const tokenIds = z.array(z.int().nonnegative());

const common = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  priority: z.enum(['interactive', 'standard', 'batch']).nullish(),
};

const maxTokens = z.int().positive().nullish();

const completionBody = z.looseObject({
  ...common,
  prompt: z.union([z.string(), z.array(z.string()).length(1), tokenIds]),
  max_tokens: maxTokens,
});

const contentPart = z.object({ type: z.literal('text'), text: z.string() });

const chatBody = z.looseObject({
  ...common,
  messages: z
    .array(
      z.looseObject({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPart)]).nullish(),
      }),
    )
    .min(1),
  max_tokens: maxTokens,
  max_completion_tokens: maxTokens,
});

/** Parameters that would change the answer in ways engines don't offer, with the harmless values. */
const UNSUPPORTED: Readonly<Record<string, readonly unknown[]>> = {
  n: [1],
  best_of: [1],
  echo: [false],
  suffix: [''],
  logprobs: [false, 0],
  top_logprobs: [0],
  stop: [''],
  tools: [],
  functions: [],
  response_format: [],
  logit_bias: [],
};

const parsers: Readonly<
  Record<CompletionStyle, (body: unknown) => z.ZodSafeParseResult<CompletionAsk>>
> = {
  completion: (body) => completionBody.transform(fromCompletion).safeParse(body),
  chat: (body) => chatBody.transform(fromChat).safeParse(body),
};

/**
 * Checks a caller's body. Sampling parameters such as `temperature` are taken and have no effect,
 * since engines choose their own sampling.
 *
 * @param style which of the two styles the path stands for
 * @param body the decoded JSON
 */
export function parseCompletionAsk(style: CompletionStyle, body: unknown): CompletionAskResult {
  const unsupported = findUnsupported(body);
  if (unsupported !== undefined) {
    const detail = `${unsupported} is not supported with this value`;
    return { type: 'invalid', reason: 'unsupported-parameter', detail };
  }
  const checked = parsers[style](body);
  if (checked.success) return { type: 'valid', ask: checked.data };
  return { type: 'invalid', reason: 'invalid-request', detail: z.prettifyError(checked.error) };
}

function findUnsupported(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null) return undefined;
  const isRefused = ([key, value]: readonly [string, unknown]): boolean =>
    value !== null && UNSUPPORTED[key]?.includes(value) === false;
  return Object.entries(body).find(isRefused)?.[0];
}

function fromCompletion(body: z.infer<typeof completionBody>): CompletionAsk {
  return {
    ...readCommon(body),
    prompt: toTokens(body.prompt),
    maxTokens: body.max_tokens ?? DEFAULT_ANSWER_TOKENS,
  };
}

function fromChat(body: z.infer<typeof chatBody>): CompletionAsk {
  const turns = body.messages.map(({ role, content }) => `${role}: ${toText(content ?? '')}\n`);
  return {
    ...readCommon(body),
    prompt: encodeText(`${turns.join('')}assistant: `),
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_ANSWER_TOKENS,
  };
}

function readCommon(
  body: z.infer<z.ZodObject<typeof common>>,
): Omit<CompletionAsk, 'prompt' | 'maxTokens'> {
  return {
    service: body.model,
    isStream: body.stream ?? false,
    includesUsage: body.stream_options?.include_usage ?? false,
    priority: body.priority ?? 'interactive',
  };
}

function toTokens(prompt: string | readonly string[] | readonly number[]): readonly number[] {
  if (typeof prompt === 'string') return encodeText(prompt);
  return prompt.flatMap((part) => (typeof part === 'string' ? encodeText(part) : [part]));
}

function toText(content: string | readonly { readonly text: string }[]): string {
  if (typeof content === 'string') return content;
  return content.map((part) => part.text).join('');
}
