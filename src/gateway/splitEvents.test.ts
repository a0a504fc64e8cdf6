import { splitEvents } from './splitEvents';

const texts = (pending: string, chunk: string): readonly [readonly string[], string] => {
  const { events, rest } = splitEvents(Buffer.from(pending), Buffer.from(chunk));
  return [events.map(({ id, bytes }) => `${id ?? '-'}|${bytes.toString()}`), rest.toString()];
};

describe('splitEvents', () => {
  it('keeps the bytes of each event', () => {
    expect(texts('', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')).toEqual([
      ['1|id: 1\ndata: a\n\n', '2|id: 2\ndata: b\n\n'],
      '',
    ]);
  });

  it('holds back an event until its end arrives', () => {
    expect(texts('id: 3\nda', 'ta: c\n\nid: 4')).toEqual([['3|id: 3\ndata: c\n\n'], 'id: 4']);
  });

  it('reads an id after another line and accepts events without an id', () => {
    expect(texts('', 'event: x\nid:5\n\n: ping\n\n')).toEqual([
      ['5|event: x\nid:5\n\n', '-|: ping\n\n'],
      '',
    ]);
  });
});
