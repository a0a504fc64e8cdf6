import { createEventSplitter } from './createEventSplitter';

const KIB = Buffer.alloc(1024, 'a');

/** Number of pieces up to and including the one that is over a bound. */
const countPieces = (piece: Buffer, maxPieces: number): number => {
  const splitter = createEventSplitter();
  for (let pieces = 1; pieces <= maxPieces; pieces += 1) {
    if (splitter.split(piece).isOversized) return pieces;
  }
  return Infinity;
};

describe('createEventSplitter', () => {
  it('joins an event of tens of KiB that arrives in pieces', () => {
    const splitter = createEventSplitter();
    for (let count = 0; count < 99; count += 1) {
      expect(splitter.split(KIB)).toEqual({ events: [], isOversized: false });
    }
    expect(splitter.hasRest()).toBe(true);
    const { events, isOversized } = splitter.split(Buffer.from('\n\n'));
    expect([events[0]?.bytes.length, isOversized]).toEqual([99 * 1024 + 2, false]);
    expect(splitter.hasRest()).toBe(false);
  });

  it.each(['id: 1\n\nid: 2\n\nid', 'id: 1\r\n\r\nid: 2\r\n\r\nid', 'id: 1\r\n\nid: 2\n\r\nid'])(
    'finds the end of an event at any cut: %j',
    (text) => {
      const bytes = Buffer.from(text);
      for (let cut = 0; cut <= bytes.length; cut += 1) {
        const splitter = createEventSplitter();
        const pieces = [bytes.subarray(0, cut), bytes.subarray(cut)];
        const events = pieces.flatMap((piece) => splitter.split(piece).events);
        expect(events.map(({ id }) => id)).toEqual(['1', '2']);
        expect(splitter.hasRest()).toBe(true);
      }
    },
  );

  it('gives up on an event that does not end', () => {
    expect(countPieces(KIB, 1_000)).toBe(129);
  });

  it('gives up on events that do not end', () => {
    const event = Buffer.concat([KIB.subarray(2), Buffer.from('\n\n')]);
    expect(countPieces(event, 100_000)).toBe(32 * 1024 + 1);
  });

  it('gives up on tiny events that do not end', () => {
    expect(countPieces(Buffer.from(':\n\n'), 1_000_000)).toBe(256 * 1024 + 1);
  });
});
