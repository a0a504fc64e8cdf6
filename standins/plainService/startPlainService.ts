/**
 * A stand-in plain service that runs every call and logs each run. `POST /faults` injects faults;
 * `GET /log` lists the runs, so a test can check them.
 */

import { randomUUID } from 'node:crypto';
import { sleep } from '../http/sleep';
import { startServer, type Answer, type Exchange, type Server } from '../http/startServer';

export interface PlainServiceOptions {
  readonly id: string;
  readonly host?: string;
  readonly port?: number;
  /** Whether a repeated `Idempotency-Key` gets the first answer again without a second run. */
  readonly honoursIdempotencyKey?: boolean;
  /** Whether `GET /status/{id}` returns the outcome of an operation. */
  readonly offersStatus?: boolean;
}

export interface PlainServiceFaults {
  /** Delay before a call runs, milliseconds. */
  readonly delayMs: number;
  /** Number of next calls that run but lose their reply. */
  readonly loseReplies: number;
  /** Number of next calls whose connection is reset before they run. */
  readonly resetBefore: number;
  /** Number of next calls that get 503 with proof that they did not run. */
  readonly refuseWithProof: number;
  /** Number of next calls that run and get 503 without proof. */
  readonly failAfterRun: number;
}

/** One run of a call, as logged. */
export interface PlainRun {
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Whether the service was already leaving when the call ran. */
  readonly wasLeaving: boolean;
}

const NO_PLAIN_FAULTS: PlainServiceFaults = {
  delayMs: 0,
  loseReplies: 0,
  resetBefore: 0,
  refuseWithProof: 0,
  failAfterRun: 0,
};

type CountedFault = 'loseReplies' | 'resetBefore' | 'refuseWithProof' | 'failAfterRun';

/**
 * Starts a plain service.
 *
 * @param options its id, listen address and guarantees
 */
export function startPlainService({
  id,
  honoursIdempotencyKey = false,
  offersStatus = false,
  ...address
}: PlainServiceOptions): Promise<Server> {
  const incarnation = randomUUID();
  const runs: PlainRun[] = [];
  const answers = new Map<string, Answer>();
  let faults = NO_PLAIN_FAULTS;
  let isLeaving = false;

  const consumeFault = (fault: CountedFault): boolean => {
    if (faults[fault] === 0) return false;
    faults = { ...faults, [fault]: faults[fault] - 1 };
    return true;
  };

  const run = (exchange: Exchange, key: string): Answer => {
    const { method, path, body } = exchange;
    runs.push({ key, method, path, body: body.toString(), wasLeaving: isLeaving });
    const answer = { status: 200, body: { server: id, run: runs.length, path, key } };
    if (key !== '') answers.set(key, answer);
    return answer;
  };

  const handleCall = async (exchange: Exchange): Promise<Answer> => {
    const key = String(exchange.headers['idempotency-key'] ?? '');
    await sleep(faults.delayMs);
    if (consumeFault('resetBefore')) return resetConnection(exchange);
    if (consumeFault('refuseWithProof')) {
      return { status: 503, body: { error: 'busy' }, headers: { 'not-run': 'true' } };
    }
    const known = honoursIdempotencyKey ? answers.get(key) : undefined;
    const answer = known ?? run(exchange, key);
    if (consumeFault('loseReplies')) return resetConnection(exchange);
    return consumeFault('failAfterRun') ? { status: 503, body: { error: 'broken' } } : answer;
  };

  const readStatus = (operation: string): Answer => {
    const answer = answers.get(operation);
    if (answer === undefined) return { status: 404, body: { state: 'not-run' } };
    return { status: 200, body: { state: 'done', answer: answer.body } };
  };

  const control: Readonly<Record<string, (exchange: Exchange) => Answer>> = {
    'GET /v1/health': () => ({
      status: 200,
      body: { state: isLeaving ? 'leaving' : 'live', incarnation },
    }),
    'POST /v1/leave': () => {
      isLeaving = true;
      return { status: 200, body: {} };
    },
    'POST /faults': ({ body }) => {
      faults = { ...faults, ...(JSON.parse(body.toString()) as Partial<PlainServiceFaults>) };
      return { status: 200, body: faults };
    },
    'GET /log': () => ({ status: 200, body: { runs } }),
  };

  return startServer({
    ...address,
    handler: (exchange) => {
      const { method, path } = exchange;
      const handle = control[`${method} ${path}`];
      if (handle !== undefined) return handle(exchange);
      const isStatus = offersStatus && method === 'GET' && path.startsWith('/status/');
      if (isStatus) return readStatus(decodeURIComponent(path.slice('/status/'.length)));
      return handleCall(exchange);
    },
  });
}

function resetConnection({ request }: Exchange): Answer {
  request.socket.destroy();
  return undefined;
}
