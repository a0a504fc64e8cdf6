import { computeAnswer, embedSequence, readToken, runLayers } from './computeToken';

describe('runLayers', () => {
  const start = embedSequence('draft', [1, 2, 3]);
  const whole = runLayers(start, { from: 0, to: 8 });

  it('gives the same over stages as over the whole range', () => {
    const first = runLayers(start, { from: 0, to: 3 });
    expect(runLayers(first, { from: 3, to: 8 })).toBe(whole);
  });

  it('differs where layers are repeated, left out or out of order', () => {
    const repeated = runLayers(runLayers(start, { from: 0, to: 4 }), { from: 3, to: 8 });
    const skipped = runLayers(runLayers(start, { from: 0, to: 3 }), { from: 4, to: 8 });
    const swapped = runLayers(runLayers(start, { from: 4, to: 8 }), { from: 0, to: 4 });
    expect([repeated, skipped, swapped]).not.toContain(whole);
  });
});

describe('computeAnswer', () => {
  it('continues one token at a time', () => {
    const whole = computeAnswer({ id: 'draft', layers: 8 }, [1, 2, 3], 5);
    const first = readToken(runLayers(embedSequence('draft', [1, 2, 3]), { from: 0, to: 8 }));
    const rest = computeAnswer({ id: 'draft', layers: 8 }, [1, 2, 3, first.token], 4);
    expect(first.text + rest).toBe(whole);
  });
});
