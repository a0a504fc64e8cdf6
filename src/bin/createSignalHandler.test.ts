import { EXIT_INTERRUPTED } from '../node/constants';
import { createSignalHandler } from './createSignalHandler';

describe('createSignalHandler', () => {
  let actions: string[];
  let finishDrain: () => void;
  let onSignal: () => void;

  beforeEach(() => {
    actions = [];
    jest.spyOn(console, 'error').mockImplementation((line: string) => actions.push(line));
    const drained = new Promise<void>((resolve) => {
      finishDrain = resolve;
    });
    const daemon = {
      countWork: () => 3,
      drain: () => {
        actions.push('drain');
        return drained;
      },
      stop: () => {
        actions.push('stop');
        return Promise.resolve();
      },
    };
    onSignal = createSignalHandler(daemon, (code) => actions.push(`exit ${code}`));
  });

  afterEach(() => {
    jest.restoreAllMocks();
  });

  it('drains on the first signal, and stops and exits only after the drain', async () => {
    onSignal();
    expect(actions).toEqual(['drain']);
    finishDrain();
    await new Promise(setImmediate);
    expect(actions).toEqual(['drain', 'stop', 'exit 0']);
  });

  it('prints the interrupted work on the second signal, and exits', () => {
    onSignal();
    onSignal();
    expect(actions).toEqual([
      'drain',
      'cutting 3 requests and calls in progress',
      `exit ${EXIT_INTERRUPTED}`,
    ]);
  });
});
