import { continuesStream } from './continuesStream';

const begun = (contentType: string | undefined, headersSent = true) => ({
  headersSent,
  statusCode: 200,
  getHeader: () => contentType,
});

describe('continuesStream', () => {
  it.each([
    ['text/event-stream', 200, 'text/event-stream', true],
    ['text/event-stream', 200, 'Text/Event-Stream; charset=utf-8', true],
    ['text/event-stream', 200, 'application/json', false],
    ['text/event-stream', 200, undefined, false],
    ['text/event-stream', 204, 'text/event-stream', false],
    [undefined, 200, undefined, true],
  ])('begun as %s, status %i as %s: %s', (first, status, next, expected) => {
    expect(continuesStream(begun(first), status, { 'content-type': next })).toBe(expected);
  });

  it('lets any success begin a stream', () => {
    expect(continuesStream(begun(undefined, false), 202, {})).toBe(true);
  });
});
