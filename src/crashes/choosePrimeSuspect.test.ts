import { choosePrimeSuspect } from './choosePrimeSuspect';

const rates: Readonly<Record<string, number>> = { first: 10, bad: 5, sound: 2, other: 2 };

const choose = (contents: readonly string[], mostCrashes: readonly string[]): string | undefined =>
  choosePrimeSuspect({ contents, mostCrashes }, (content) => rates[content] ?? 0);

describe('choosePrimeSuspect', () => {
  it('chooses the content with most crashes', () => {
    expect(choose(['first', 'bad', 'sound'], ['bad'])).toBe('bad');
  });

  it('chooses the rarest of those with most crashes', () => {
    expect(choose(['first', 'bad', 'sound'], ['first', 'bad'])).toBe('bad');
  });

  it('chooses by rates that sink from one reading to the next', () => {
    let reading = 0;
    const culprits = { contents: ['first', 'bad'], mostCrashes: ['bad', 'first'] };
    const readRate = (content: string): number => (rates[content] ?? 0) - (reading += 0.01);
    expect(choosePrimeSuspect(culprits, readRate)).toBe('bad');
  });

  it('chooses none of two that are alike', () => {
    expect(choose(['first', 'sound', 'other'], ['first', 'sound', 'other'])).toBeUndefined();
  });

  it('chooses none where there is nothing to tell apart', () => {
    expect(choose(['bad'], ['bad'])).toBeUndefined();
  });
});
