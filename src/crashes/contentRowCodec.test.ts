import { decodeContentRow, encodeContentRow, MAX_KEPT_CONTENTS } from './contentRowCodec';

const report = { content: 'part:draft:bad0', servers: ['x/1', 'y/1', 'z/1'], disproved: ['y/1'] };

describe('contentRowCodec', () => {
  it('keeps the servers whose crash is not disproved', () => {
    const value = encodeContentRow([{ ...report, ageMs: 12.4 }]);
    expect(value).toBe(
      '{"format":1,"contents":[{"content":"part:draft:bad0","servers":["x/1","z/1"],"ageMs":12}]}',
    );
    expect(decodeContentRow(value)).toEqual([
      { content: 'part:draft:bad0', servers: ['x/1', 'z/1'], disproved: [], ageMs: 12 },
    ]);
  });

  it('stays below the size of a row with many contents and crashes', () => {
    const servers = Array.from(
      { length: 40 },
      (_, index) => `i-0123456789abcdef${index}/1700000000000`,
    );
    const reports = Array.from({ length: 500 }, (_, index) => ({
      content: `request:0123456789abcdef01234567${index}`,
      servers,
      disproved: [],
      ageMs: 1,
    }));
    const value = encodeContentRow(reports);
    expect(Buffer.byteLength(value)).toBeLessThan(48 * 1024);
    expect(decodeContentRow(value)).toHaveLength(MAX_KEPT_CONTENTS);
  });

  it.each(['', 'x', '[]', '{"format":2,"contents":[]}', '{"format":1,"contents":[{"content":1}]}'])(
    'does not read %j',
    (value) => {
      expect(decodeContentRow(value)).toBeUndefined();
    },
  );
});
