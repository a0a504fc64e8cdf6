import { chooseConfirmationWait } from './chooseConfirmationWait';

describe('chooseConfirmationWait', () => {
  const options = { limitMs: 4_250, longestMs: 2_500 };

  it('waits long while the confirmation is fresh', () => {
    expect(chooseConfirmationWait(1_000, options)).toBe(2_500);
  });

  it('ends before the confirmation expires, after a change late in a wait', () => {
    expect(chooseConfirmationWait(2_400, options)).toBe(1_350);
  });

  it('asks again soon, but not at once, after the confirmation has expired', () => {
    expect(chooseConfirmationWait(9_000, options)).toBe(200);
    expect(chooseConfirmationWait(Infinity, options)).toBe(200);
  });
});
