import { EXIT_INTERRUPTED } from '../node/constants';
import { createSignalHandler } from './createSignalHandler';

describe('createSignalHandler', () => {
  let done: string[];
  let finishDrain: () => void;
  let onSignal: () => void;

  beforeEach(() => {
    done = [];
    jest.spyOn(console, 'error').mockImplementation((line: string) => done.push(line));
    const drained = new Promise<void>((resolve) => {
      finishDrain = resolve;
    });
    const daemon = {
      countWork: () => 3,
      drain: () => {
        done.push('drain');
        return drained;
      },
      stop: () => {
        done.push('stop');
        return Promise.resolve();
      },
    };
    onSignal = createSignalHandler(daemon, (code) => done.push(`exit ${code}`));
  });

  afterEach(() => {
    jest.restoreAllMocks();
  });

  it('drains on the first signal, and stops and exits only after the drain', async () => {
    onSignal();
    expect(done).toEqual(['drain']);
    finishDrain();
    await new Promise(setImmediate);
    expect(done).toEqual(['drain', 'stop', 'exit 0']);
  });

  it('prints the interrupted work on the second signal, and exits', () => {
    onSignal();
    onSignal();
    expect(done).toEqual([
      'drain',
      'cutting 3 requests and calls in progress',
      `exit ${EXIT_INTERRUPTED}`,
    ]);
  });
});
