/** One caller of a workspace, who asks again where that is safe and checks every answer. */

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
  /** Asks for a draft until it has the whole of it. */
  readonly draft: (
    prompt: string,
    maxTokens: number,
    onStarted?: (request: string) => void,
  ) => Promise<void>;
  /** Does something that must not happen twice. */
  readonly write: (path: string, job: string) => Promise<void>;
  readonly lookUp: (job: string) => Promise<void>;
}

export interface CallerOptions {
  readonly workspace: WorkspaceName;
  readonly name: string;
  readonly tally: Tally;
  readonly known: () => readonly string[];
  /** Told of each write that was refused as not run, by its path, and by whom with which words. */
  readonly onNotRun: (path: string, why: string) => void;
  /** Told of each stream that was cut, and why. */
  readonly onCut: (url: string, why: string) => void;
}

/** Time after which a caller gives a request up, milliseconds. */
const PATIENCE_MS = 12_000;

const RETRY_MS = 150;

interface Problem {
  readonly outcome?: 'not-run' | 'unknown' | 'failed';
  readonly retryAfterMs?: number;
}

/** Nobody took the first connection, so nothing was sent: safe to ask anew under another id. */
const NEVER_SENT = { outcome: 'not-run', detail: 'the connection was refused' } as const;

/**
 * Creates a caller.
 *
 * @param options whose caller, where it asks first, and who counts
 */
export function createCaller(options: CallerOptions): Caller {
  const { workspace, name, tally, known, onNotRun, onCut } = options;
  const token = TOKENS[workspace];
  const service = PLAIN_SERVICES[workspace];
  const directory = createDirectory({ token, name, known });
  let sequence = 0;

  const finish = (isRight: boolean): void => {
    tally.add(isRight ? 'answered' : 'wrongAnswers');
  };

  const send = async (path: string, key?: string): Promise<unknown> => {
    const call = { token, body: {}, ...(key === undefined ? {} : { key }) };
    const method = key === undefined ? 'GET' : 'POST';
    const { url } = await directory.current();
    const endsAt = Date.now() + PATIENCE_MS;
    for (let at = url, tries = 1; Date.now() < endsAt; at = directory.next(), tries += 1) {
      try {
        const body = method === 'GET' ? { token } : call;
        return (await callJson(`${at}/v1/services/${service.id}${path}`, { method, ...body })).body;
      } catch (error) {
        directory.forget();
        if (tries === 1 && classifyConnectionFailure(error) === 'unreachable') return NEVER_SENT;
        await sleep(RETRY_MS);
      }
    }
    return { outcome: 'unknown' };
  };

  const backOff = async (retryAfterMs = RETRY_MS): Promise<void> => {
    directory.forget();
    await sleep(retryAfterMs);
  };

  return {
    draft: async (prompt, maxTokens, onStarted = () => undefined) => {
      tally.add('requests');
      const expected = computeAnswer(MODEL, encodeText(prompt), maxTokens);
      const endsAt = Date.now() + PATIENCE_MS;
      while (Date.now() < endsAt) {
        const { url } = await directory.current();
        const ask = { url, token, service: 'drafts', prompt, maxTokens, onStarted };
        const end = await readStream(ask);
        if (end.type === 'whole') {
          finish(end.text === expected);
          return;
        }
        if (end.type === 'cut') {
          tally.add('cutStreams');
          onCut(url, `after ${end.text.length} tokens: ${end.detail}`);
        }
        if (end.type === 'cut' && !expected.startsWith(end.text)) tally.add('wrongAnswers');
        await backOff(end.type === 'refused' ? end.retryAfterMs : RETRY_MS);
      }
      tally.add('notRun');
    },
    write: async (path, job) => {
      tally.add('requests');
      const endsAt = Date.now() + PATIENCE_MS;
      for (let attempt = 1; Date.now() < endsAt; attempt += 1) {
        const { ticket } = await directory.current();
        sequence += 1;
        const target = `${path}/${job}-${attempt}`;
        const body = await send(target, `${ticket}/${sequence}`);
        const { outcome, retryAfterMs } = body as Problem;
        if (outcome !== 'not-run') {
          if (outcome === undefined) finish((body as { readonly path: string }).path === target);
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
      const endsAt = Date.now() + PATIENCE_MS;
      const target = `${service.lookups}${job}`;
      while (Date.now() < endsAt) {
        const body = await send(target);
        if ((body as Problem).outcome === undefined) {
          finish((body as { readonly path: string }).path === target);
          return;
        }
        await backOff();
      }
      tally.add('notRun');
    },
  };
}
