import { encode } from '@msgpack/msgpack';
import * as fc from 'fast-check';
import { decodeDatagram } from './decodeDatagram';
import { holdsAnnouncedItems } from './holdsAnnouncedItems';

describe('holdsAnnouncedItems', () => {
  it('holds for all that VMs can send', () => {
    const value = fc.jsonValue({ maxDepth: 5 });
    fc.assert(
      fc.property(value, fc.string({ minLength: 30, maxLength: 70_000 }), (json, text) => {
        const sent = [json, text, 1.5, -1, 2 ** 40, -(2 ** 40), null, true, false];
        expect(holdsAnnouncedItems(encode(sent))).toBe(true);
      }),
    );
  });

  it('holds for long arrays, objects, texts and bytes', () => {
    for (const length of [15, 16, 255, 256, 65_536]) {
      const array = Array.from({ length }, (_, index) => index);
      const object = Object.fromEntries(array.map((index) => [`k${index}`, index]));
      const sent = [array, object, 'a'.repeat(length), Buffer.alloc(length)];
      expect(holdsAnnouncedItems(encode(sent))).toBe(true);
    }
  });

  // Arrays in arrays of 56,540 items each took the memory of the process.
  it.each([0xdc, 0xdd, 0xde, 0xdf])('fails for nested announcements: %i', (byte) => {
    expect(holdsAnnouncedItems(Buffer.alloc(60_000, byte))).toBe(false);
    expect(decodeDatagram(Buffer.alloc(60_000, byte))).toBeUndefined();
  });

  it('fails for what is cut at any byte', () => {
    const whole = encode(['a', [1, 300, 70_000, 'b'.repeat(300)], { key: 1.5 }]);
    for (let end = 0; end < whole.length; end += 1)
      expect(holdsAnnouncedItems(whole.subarray(0, end))).toBe(false);
  });

  it('decides on any bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        expect(typeof holdsAnnouncedItems(bytes)).toBe('boolean');
      }),
    );
  });
});
