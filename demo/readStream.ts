/** Reads a streamed completion as a client would, and says whether it came whole. */

import { createParser } from 'eventsource-parser';
import { request } from 'undici';

export type StreamEnd =
  | { readonly type: 'whole'; readonly text: string }
  /** Ended before `[DONE]`. */
  | { readonly type: 'cut'; readonly text: string; readonly detail: string }
  | { readonly type: 'refused'; readonly outcome: string; readonly retryAfterMs: number }
  /** Nothing of an answer came. */
  | { readonly type: 'lost' };

export interface StreamAsk {
  readonly url: string;
  readonly token: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Told the id of the request once the answer begins. */
  readonly onStarted?: (request: string) => void;
}

/** Longest silence before the reader gives up, milliseconds. */
const SILENCE_MS = 8000;

const DEFAULT_RETRY_MS = 200;

/**
 * Asks for a streamed completion and reads it to its end.
 *
 * @param ask where, as whom, and what
 */
export async function readStream(ask: StreamAsk): Promise<StreamEnd> {
  let text = '';
  let end = '';
  let detail = 'the stream ended without [DONE]';
  const parser = createParser({
    onEvent: ({ event, data }) => {
      if (data === '[DONE]') end = data;
      else if (event === 'error') detail = data;
      else text += readText(data);
    },
  });
  try {
    const reply = await open(ask);
    if (reply.statusCode !== 200) return readRefusal(await reply.body.json());
    ask.onStarted?.(String(reply.headers['x-request-id']));
    for await (const chunk of reply.body) parser.feed(String(chunk));
  } catch (error) {
    if (text === '') return { type: 'lost' };
    detail = String(error);
  }
  return end !== '' ? { type: 'whole', text } : { type: 'cut', text, detail };
}

function open({ url, token, service, prompt, maxTokens }: StreamAsk): ReturnType<typeof request> {
  return request(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: service, prompt, max_tokens: maxTokens, stream: true }),
    headersTimeout: SILENCE_MS,
    bodyTimeout: SILENCE_MS,
  });
}

function readText(data: string): string {
  const chunk = JSON.parse(data) as { readonly choices: readonly { readonly text: string }[] };
  return chunk.choices[0]?.text ?? '';
}

function readRefusal(body: unknown): StreamEnd {
  const problem = body as { readonly outcome: string; readonly retryAfterMs?: number };
  const { outcome, retryAfterMs = DEFAULT_RETRY_MS } = problem;
  return { type: 'refused', outcome, retryAfterMs };
}
