/** The JSON of completion answers, whole and in chunks, in both styles. */

import type { CompletionStyle } from './completionAsk';

/** What every part of one answer repeats. */
export interface AnswerHead {
  readonly style: CompletionStyle;
  readonly request: string;
  readonly service: string;
  /** Wall clock, seconds. */
  readonly created: number;
}

export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

interface CompletionFormat {
  readonly object: string;
  readonly chunkObject: string;
  readonly whole: (text: string) => Readonly<Record<string, unknown>>;
  readonly part: (text: string, isFirst: boolean) => Readonly<Record<string, unknown>>;
  readonly last: Readonly<Record<string, unknown>>;
}

const formats: Readonly<Record<CompletionStyle, CompletionFormat>> = {
  completion: {
    object: 'text_completion',
    chunkObject: 'text_completion',
    whole: (text) => ({ text }),
    part: (text) => ({ text }),
    last: { text: '' },
  },
  chat: {
    object: 'chat.completion',
    chunkObject: 'chat.completion.chunk',
    whole: (content) => ({ message: { role: 'assistant', content, refusal: null } }),
    part: (content, isFirst) => ({ delta: isFirst ? { role: 'assistant', content } : { content } }),
    last: { delta: {} },
  },
};

function createHead({ request, service, created }: AnswerHead, object: string): object {
  return { id: request, object, created, model: service };
}

/** One chunk of a stream. */
export function createChunk(head: AnswerHead, text: string, isFirst: boolean): object {
  const format = formats[head.style];
  const choice = { index: 0, ...format.part(text, isFirst), logprobs: null, finish_reason: null };
  return { ...createHead(head, format.chunkObject), choices: [choice] };
}

/** The chunk that says how the answer ended. */
export function createLastChunk(head: AnswerHead, finish: 'stop' | 'length'): object {
  const format = formats[head.style];
  const choice = { index: 0, ...format.last, logprobs: null, finish_reason: finish };
  return { ...createHead(head, format.chunkObject), choices: [choice] };
}

/** The chunk that counts the tokens, for callers who asked for it. */
export function createUsageChunk(head: AnswerHead, usage: Usage): object {
  return { ...createHead(head, formats[head.style].chunkObject), choices: [], usage };
}

/** The whole answer at once. */
export function createWholeAnswer(
  head: AnswerHead,
  text: string,
  finish: 'stop' | 'length',
  usage: Usage,
): object {
  const format = formats[head.style];
  const choice = { index: 0, ...format.whole(text), logprobs: null, finish_reason: finish };
  return { ...createHead(head, format.object), choices: [choice], usage };
}
