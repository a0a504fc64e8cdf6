/** Guards against digests that differ between VMs of two versions, which count the same contents together. */

import { fingerprint } from './fingerprint';
import { fingerprintContent } from './fingerprintContent';

const ALL_BYTES = Buffer.from(Array.from({ length: 256 }, (_, byte) => byte));

describe('fingerprintContent', () => {
  it.each([
    ['without a body', undefined],
    ['with an empty body', Buffer.alloc(0)],
    ['with a text', Buffer.from('a "note" \\ \n')],
    ['with all bytes, over several slices', Buffer.concat(Array<Buffer>(200).fill(ALL_BYTES))],
  ])('equals the fingerprint of all parts in one: %s', (_, body) => {
    const parts = ['desk.example', 'POST', '/a?b=1', undefined];
    expect(fingerprintContent(parts, body)).toBe(fingerprint([...parts, body?.toString('latin1')]));
  });
});
