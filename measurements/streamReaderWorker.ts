/** Callers on a thread of their own: read streamed completions to their end, so many at a time. */

import { parentPort } from 'node:worker_threads';
import { Agent } from 'undici';

/** What the callers are to ask for. */
export interface ReaderTask {
  readonly url: string;
  readonly token: string;
  readonly requests: number;
  readonly tokens: number;
  readonly concurrency: number;
}

const dispatcher = new Agent({ connections: 256 });

async function readOne({ url, token, tokens }: ReaderTask): Promise<boolean> {
  const reply = await dispatcher.request({
    origin: url,
    path: '/v1/completions',
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'drafts', prompt: 'Ring', max_tokens: tokens, stream: true }),
  });
  const body = await reply.body.text();
  return body.endsWith('data: [DONE]\n\n') && body.split('"text":"x"').length === tokens + 1;
}

async function readAll(task: ReaderTask): Promise<number> {
  let left = task.requests;
  let whole = 0;
  const readOn = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      if (await readOne(task)) whole += 1;
    }
  };
  await Promise.all(Array.from({ length: task.concurrency }, readOn));
  return whole;
}

parentPort?.on('message', (task: ReaderTask) => {
  void readAll(task).then((whole) => {
    parentPort?.postMessage(whole);
  });
});
