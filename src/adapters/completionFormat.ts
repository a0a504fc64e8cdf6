/** Builds the JSON of completions and chat completions, as one response or as stream chunks. */

import type { CompletionStyle } from './completionRequest';

/** Metadata that every chunk of an answer repeats. */
export interface CompletionMetadata {
  readonly style: CompletionStyle;
  readonly request: string;
  readonly service: string;
  /** Unix time, seconds. */
  readonly created: number;
}

export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

/** JSON object types and choice fields of one API. */
interface CompletionFormat {
  readonly object: string;
  readonly chunkObject: string;
  /** Choice fields of a non-streamed response. */
  readonly whole: (text: string) => Readonly<Record<string, unknown>>;
  /** Choice fields of a chunk with text. */
  readonly part: (text: string, isFirst: boolean) => Readonly<Record<string, unknown>>;
  /** Choice fields of the chunk with the finish reason. */
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

function createCommonFields(
  { request, service, created }: CompletionMetadata,
  object: string,
): object {
  return { id: request, object, created, model: service };
}

/** Creates a stream chunk with generated text. */
export function createChunk(metadata: CompletionMetadata, text: string, isFirst: boolean): object {
  const format = formats[metadata.style];
  const choice = { index: 0, ...format.part(text, isFirst), logprobs: null, finish_reason: null };
  return { ...createCommonFields(metadata, format.chunkObject), choices: [choice] };
}

/** Creates the chunk that carries the finish reason. */
export function createFinishChunk(metadata: CompletionMetadata, finish: 'stop' | 'length'): object {
  const format = formats[metadata.style];
  const choice = { index: 0, ...format.last, logprobs: null, finish_reason: finish };
  return { ...createCommonFields(metadata, format.chunkObject), choices: [choice] };
}

/** Creates the chunk that reports the token counts, for callers that requested it. */
export function createUsageChunk(metadata: CompletionMetadata, usage: Usage): object {
  return {
    ...createCommonFields(metadata, formats[metadata.style].chunkObject),
    choices: [],
    usage,
  };
}

/** Creates the complete, non-streamed response. */
export function createCompletion(
  metadata: CompletionMetadata,
  text: string,
  finish: 'stop' | 'length',
  usage: Usage,
): object {
  const format = formats[metadata.style];
  const choice = { index: 0, ...format.whole(text), logprobs: null, finish_reason: finish };
  return { ...createCommonFields(metadata, format.object), choices: [choice], usage };
}
