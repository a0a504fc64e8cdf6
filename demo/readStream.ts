/** Reads a streamed completion as a client would and classifies how it ended. */

import { createParser } from 'eventsource-parser';
import { request } from 'undici';

export type StreamResult =
  | { readonly type: 'whole'; readonly text: string }
  /** The stream ended before `[DONE]`. */
  | { readonly type: 'cut'; readonly text: string; readonly detail: string }
  | { readonly type: 'refused'; readonly outcome: string; readonly retryAfterMs: number }
  /** The connection failed before any text arrived. */
  | { readonly type: 'lost' };

export interface StreamRequest {
  readonly url: string;
  readonly token: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Called with the request id once the answer begins. */
  readonly onStarted?: (request: string) => void;
}

/** Time without data after which the reader abandons the stream, milliseconds. */
const IDLE_TIMEOUT_MS = 8000;

const DEFAULT_RETRY_MS = 200;

/**
 * Requests a streamed completion and reads it to its end.
 *
 * @param streamRequest the VM, the credentials and the prompt
 */
export async function readStream(streamRequest: StreamRequest): Promise<StreamResult> {
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
    const reply = await open(streamRequest);
    if (reply.statusCode !== 200) return readRefusal(await reply.body.json());
    streamRequest.onStarted?.(String(reply.headers['x-request-id']));
    for await (const chunk of reply.body) parser.feed(String(chunk));
  } catch (error) {
    if (text === '') return { type: 'lost' };
    detail = String(error);
  }
  return end !== '' ? { type: 'whole', text } : { type: 'cut', text, detail };
}

function open({
  url,
  token,
  service,
  prompt,
  maxTokens,
}: StreamRequest): ReturnType<typeof request> {
  return request(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: service, prompt, max_tokens: maxTokens, stream: true }),
    headersTimeout: IDLE_TIMEOUT_MS,
    bodyTimeout: IDLE_TIMEOUT_MS,
  });
}

function readText(data: string): string {
  const chunk = JSON.parse(data) as { readonly choices: readonly { readonly text: string }[] };
  return chunk.choices[0]?.text ?? '';
}

function readRefusal(body: unknown): StreamResult {
  const problem = body as { readonly outcome: string; readonly retryAfterMs?: number };
  const { outcome, retryAfterMs = DEFAULT_RETRY_MS } = problem;
  return { type: 'refused', outcome, retryAfterMs };
}
