/** A caller of a workspace that retries requests where this is safe and checks every answer. */

import { classifyConnectionFailure } from '../src/adapters/classifyConnectionFailure';
import { encodeText } from '../src/adapters/encodeText';
import { computeAnswer } from '../standins/engine/computeToken';
import { createDirectory } from './createDirectory';
import type { Tally } from './createTally';
import { callJson } from './http';
import { readStream } from './readStream';
import { MODEL, PLAIN_SERVICES, TOKENS } from './site';
import type { WorkspaceName } from './site';
import { sleep } from './sleep';

export interface Caller {
  /** Requests a draft, and retries until a stream is complete. */
  readonly draft: (
    prompt: string,
    maxTokens: number,
    onStarted?: (request: string) => void,
  ) => Promise<void>;
  /** Sends a write that must not run twice. */
  readonly write: (path: string, job: string) => Promise<void>;
  readonly lookUp: (job: string) => Promise<void>;
}

export interface CallerOptions {
  readonly workspace: WorkspaceName;
  readonly name: string;
  readonly tally: Tally;
  readonly known: () => readonly string[];
  /** Called for each write that was refused as not run, with its path, answer and operation id. */
  readonly onNotRun: (path: string, why: string) => void;
  /** Called for each truncated stream, with the cause. */
  readonly onTruncated: (url: string, why: string) => void;
}

/** Time after which a caller abandons a request, milliseconds. */
const REQUEST_TIMEOUT_MS = 12_000;

const RETRY_MS = 150;

interface Problem {
  readonly outcome?: 'not-run' | 'unknown' | 'failed';
  readonly retryAfterMs?: number;
}

/** The first connection was refused, so nothing was sent and a retry under another id is safe. */
const NEVER_SENT = { outcome: 'not-run', detail: 'the connection was refused' } as const;

/**
 * Creates a caller.
 *
 * @param options the workspace, the known VMs and the counters
 */
export function createCaller(options: CallerOptions): Caller {
  const { workspace, name, tally, known, onNotRun, onTruncated } = options;
  const token = TOKENS[workspace];
  const service = PLAIN_SERVICES[workspace];
  const directory = createDirectory({ token, name, known });
  let sequence = 0;

  const countAnswer = (isCorrect: boolean): void => {
    tally.add(isCorrect ? 'answered' : 'wrongAnswers');
  };

  const send = async (path: string, key?: string): Promise<unknown> => {
    const call = { token, body: {}, ...(key === undefined ? {} : { key }) };
    const method = key === undefined ? 'GET' : 'POST';
    const { url } = await directory.current();
    const endsAt = Date.now() + REQUEST_TIMEOUT_MS;
    for (let at = url, tries = 1; Date.now() < endsAt; at = directory.next(), tries += 1) {
      try {
        const body = method === 'GET' ? { token } : call;
        return (await callJson(`${at}/v1/services/${service.id}${path}`, { method, ...body })).body;
      } catch (error) {
        directory.invalidate();
        if (tries === 1 && classifyConnectionFailure(error) === 'unreachable') return NEVER_SENT;
        await sleep(RETRY_MS);
      }
    }
    return { outcome: 'unknown' };
  };

  const backOff = async (retryAfterMs = RETRY_MS): Promise<void> => {
    directory.invalidate();
    await sleep(retryAfterMs);
  };

  return {
    draft: async (prompt, maxTokens, onStarted = () => undefined) => {
      tally.add('requests');
      const expected = computeAnswer(MODEL, encodeText(prompt), maxTokens);
      const endsAt = Date.now() + REQUEST_TIMEOUT_MS;
      while (Date.now() < endsAt) {
        const { url } = await directory.current();
        const streamRequest = { url, token, service: 'drafts', prompt, maxTokens, onStarted };
        const result = await readStream(streamRequest);
        if (result.type === 'whole') {
          countAnswer(result.text === expected);
          return;
        }
        if (result.type === 'cut') {
          tally.add('cutStreams');
          onTruncated(url, `after ${result.text.length} tokens: ${result.detail}`);
        }
        if (result.type === 'cut' && !expected.startsWith(result.text)) tally.add('wrongAnswers');
        await backOff(result.type === 'refused' ? result.retryAfterMs : RETRY_MS);
      }
      tally.add('notRun');
    },
    write: async (path, job) => {
      tally.add('requests');
      const endsAt = Date.now() + REQUEST_TIMEOUT_MS;
      for (let attempt = 1; Date.now() < endsAt; attempt += 1) {
        const { ticket } = await directory.current();
        sequence += 1;
        const target = `${path}/${job}-${attempt}`;
        const body = await send(target, `${ticket}/${sequence}`);
        const { outcome, retryAfterMs } = body as Problem;
        if (outcome !== 'not-run') {
          if (outcome === undefined)
            countAnswer((body as { readonly path: string }).path === target);
          else tally.add(outcome);
          return;
        }
        onNotRun(target, `${JSON.stringify(body)} for ${ticket}/${sequence}`);
        await backOff(retryAfterMs);
      }
      tally.add('notRun');
    },
    lookUp: async (job) => {
      tally.add('requests');
      const endsAt = Date.now() + REQUEST_TIMEOUT_MS;
      const target = `${service.lookups}${job}`;
      while (Date.now() < endsAt) {
        const body = await send(target);
        if ((body as Problem).outcome === undefined) {
          countAnswer((body as { readonly path: string }).path === target);
          return;
        }
        await backOff();
      }
      tally.add('notRun');
    },
  };
}
