import { chooseConfirmationWait } from './chooseConfirmationWait';

describe('confirmationWait', () => {
  const options = { limitMs: 4_250, longestMs: 2_500 };

  it('waits long while the confirmation is fresh', () => {
    expect(chooseConfirmationWait(1_000, options)).toBe(2_500);
  });

  it('ends before the confirmation lapses, after a change late in a wait', () => {
    expect(chooseConfirmationWait(2_400, options)).toBe(1_350);
  });

  it('asks soon where the confirmation lapsed, and in no loop', () => {
    expect(chooseConfirmationWait(9_000, options)).toBe(200);
    expect(chooseConfirmationWait(Infinity, options)).toBe(200);
  });
});
