import { computeAnswer, embedSequence, decodeToken, runLayers } from './computeToken';

describe('runLayers', () => {
  const start = embedSequence('draft', [1, 2, 3]);
  const whole = runLayers(start, { from: 0, to: 8 });

  it('gives the same activation over two stages as over the whole range', () => {
    const first = runLayers(start, { from: 0, to: 3 });
    expect(runLayers(first, { from: 3, to: 8 })).toBe(whole);
  });

  it('gives another activation when layers are repeated, skipped or out of order', () => {
    const repeated = runLayers(runLayers(start, { from: 0, to: 4 }), { from: 3, to: 8 });
    const skipped = runLayers(runLayers(start, { from: 0, to: 3 }), { from: 4, to: 8 });
    const swapped = runLayers(runLayers(start, { from: 4, to: 8 }), { from: 0, to: 4 });
    expect([repeated, skipped, swapped]).not.toContain(whole);
  });
});

describe('computeAnswer', () => {
  it('gives the same answer when it continues after the first token', () => {
    const whole = computeAnswer({ id: 'draft', layers: 8 }, [1, 2, 3], 5);
    const first = decodeToken(runLayers(embedSequence('draft', [1, 2, 3]), { from: 0, to: 8 }));
    const rest = computeAnswer({ id: 'draft', layers: 8 }, [1, 2, 3, first.token], 4);
    expect(first.text + rest).toBe(whole);
  });
});
