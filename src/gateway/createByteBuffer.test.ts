import { createByteBuffer } from './createByteBuffer';

describe('createByteBuffer', () => {
  it('is empty at first', () => {
    expect(createByteBuffer().bytes()).toEqual(Buffer.alloc(0));
  });

  it('joins pieces in order beyond its first capacity', () => {
    const buffer = createByteBuffer();
    const pieces = ['ab', 'c'.repeat(5_000), '', 'd'.repeat(20_000), 'e'];
    for (const piece of pieces) buffer.append(Buffer.from(piece));
    expect(buffer.length()).toBe(25_003);
    expect(buffer.bytes().toString()).toBe(pieces.join(''));
  });
});
