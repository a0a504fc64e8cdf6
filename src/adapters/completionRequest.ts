/** Parses completion and chat completion requests in the format of common client libraries. */

import { z } from 'zod';
import type { Priority } from '../requests/request';
import { DEFAULT_ANSWER_TOKENS } from './constants';
import { encodeText } from './encodeText';

/** A completion or chat completion request, with the prompt as token ids. */
export interface CompletionRequest {
  /** Name of the service in the caller's workspace. */
  readonly service: string;
  readonly prompt: readonly number[];
  readonly maxTokens: number;
  readonly isStream: boolean;
  /** Whether a stream ends with a chunk that reports the token counts. */
  readonly includesUsage: boolean;
  readonly priority: Priority;
}

export type CompletionParseResult =
  | { readonly type: 'valid'; readonly ask: CompletionRequest }
  | {
      readonly type: 'invalid';
      readonly reason: 'invalid-request' | 'unsupported-parameter';
      readonly detail: string;
    };

/** The API that the caller uses: completions or chat completions. */
export type CompletionStyle = 'completion' | 'chat';

const tokenIdsSchema = z.array(z.int().nonnegative());

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  priority: z.enum(['interactive', 'standard', 'batch']).nullish(),
};

const maxTokens = z.int().positive().nullish();

const completionBodySchema = z.looseObject({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1), tokenIdsSchema]),
  max_tokens: maxTokens,
});

const contentPartSchema = z.object({ type: z.literal('text'), text: z.string() });

const chatBodySchema = z.looseObject({
  ...commonFields,
  messages: z
    .array(
      z.looseObject({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPartSchema)]).nullish(),
      }),
    )
    .min(1),
  max_tokens: maxTokens,
  max_completion_tokens: maxTokens,
});

/**
 * Parameters that would change the answer in ways that engines do not support, with the values that
 * are accepted because they have no effect.
 */
const NEUTRAL_VALUES: Readonly<Record<string, readonly unknown[]>> = {
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
  Record<CompletionStyle, (body: unknown) => z.ZodSafeParseResult<CompletionRequest>>
> = {
  completion: (body) => completionBodySchema.transform(convertCompletionBody).safeParse(body),
  chat: (body) => chatBodySchema.transform(convertChatBody).safeParse(body),
};

/**
 * Validates a request body. Sampling parameters such as `temperature` are accepted but ignored,
 * because engines choose their own sampling.
 *
 * @param style the API that the request path belongs to
 * @param body the decoded JSON body
 */
export function parseCompletionRequest(
  style: CompletionStyle,
  body: unknown,
): CompletionParseResult {
  const unsupported = findUnsupportedParameter(body);
  if (unsupported !== undefined) {
    const detail = `${unsupported} is not supported with this value`;
    return { type: 'invalid', reason: 'unsupported-parameter', detail };
  }
  const checked = parsers[style](body);
  if (checked.success) return { type: 'valid', ask: checked.data };
  return { type: 'invalid', reason: 'invalid-request', detail: z.prettifyError(checked.error) };
}

function findUnsupportedParameter(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null) return undefined;
  const isRefused = ([key, value]: readonly [string, unknown]): boolean =>
    value !== null && NEUTRAL_VALUES[key]?.includes(value) === false;
  return Object.entries(body).find(isRefused)?.[0];
}

function convertCompletionBody(body: z.infer<typeof completionBodySchema>): CompletionRequest {
  return {
    ...readCommonFields(body),
    prompt: tokenizePrompt(body.prompt),
    maxTokens: body.max_tokens ?? DEFAULT_ANSWER_TOKENS,
  };
}

function convertChatBody(body: z.infer<typeof chatBodySchema>): CompletionRequest {
  const turns = body.messages.map(
    ({ role, content }) => `${role}: ${joinContentParts(content ?? '')}\n`,
  );
  return {
    ...readCommonFields(body),
    prompt: encodeText(`${turns.join('')}assistant: `),
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_ANSWER_TOKENS,
  };
}

function readCommonFields(
  body: z.infer<z.ZodObject<typeof commonFields>>,
): Omit<CompletionRequest, 'prompt' | 'maxTokens'> {
  return {
    service: body.model,
    isStream: body.stream ?? false,
    includesUsage: body.stream_options?.include_usage ?? false,
    priority: body.priority ?? 'interactive',
  };
}

function tokenizePrompt(prompt: string | readonly string[] | readonly number[]): readonly number[] {
  if (typeof prompt === 'string') return encodeText(prompt);
  return prompt.flatMap((part) => (typeof part === 'string' ? encodeText(part) : [part]));
}

function joinContentParts(content: string | readonly { readonly text: string }[]): string {
  if (typeof content === 'string') return content;
  return content.map((part) => part.text).join('');
}
