import { createReplyMemory } from './createReplyMemory';

function start(maxBytes: number) {
  const revoked: string[] = [];
  const memory = createReplyMemory({ maxBytes });
  return {
    memory,
    revoked,
    open: (name: string) => memory.open(() => revoked.push(name)),
  };
}

describe('createReplyMemory', () => {
  it('takes the memory of the reply that holds most', () => {
    const { memory, revoked, open } = start(1_000);
    open('small').keep(50);
    const large = open('large');
    large.keep(300);
    open('newer').keep(200);
    expect([revoked, memory.heldBytes()]).toEqual([['large'], 500]);
    large.keep(900);
    expect(memory.heldBytes()).toBe(500);
  });

  it('takes it from the reply that asks, if that holds most', () => {
    const { revoked, open } = start(1_000);
    open('small').keep(50);
    open('large').keep(600);
    expect(revoked).toEqual(['large']);
  });

  it('keeps complete replies for their callers while any is incomplete', () => {
    const { revoked, open } = start(1_000);
    const whole = open('whole');
    whole.keep(400);
    whole.complete();
    open('flood').keep(150);
    expect(revoked).toEqual(['flood']);
    const next = open('next whole');
    next.complete();
    next.keep(450);
    expect(revoked).toEqual(['flood', 'next whole']);
  });

  it('gives back what is released', () => {
    const { memory, revoked, open } = start(1_000);
    for (let reply = 0; reply < 10; reply += 1) {
      const hold = open('one');
      hold.keep(400);
      hold.release();
      hold.release();
    }
    expect([revoked, memory.heldBytes()]).toEqual([[], 0]);
  });
});
