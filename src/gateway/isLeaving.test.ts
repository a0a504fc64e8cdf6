import { createListedServer } from '../chains/testEngine';
import { isLeaving } from './isLeaving';

const listed = createListedServer('e', { layers: { from: 0, to: 4 } });

describe('isLeaving', () => {
  it('moves streams off a server that drains or is no longer listed', () => {
    expect(isLeaving(listed, { ...listed, isDraining: true })).toBe(true);
    expect(isLeaving(listed, undefined)).toBe(true);
  });

  it('moves streams off an engine that releases its layers', () => {
    expect(isLeaving(listed, { ...listed, layers: undefined })).toBe(true);
  });

  it('keeps streams on an engine that changes in another way or has restarted', () => {
    expect(isLeaving(listed, { ...listed, layers: { from: 0, to: 6 } })).toBe(false);
    expect(isLeaving(listed, { ...listed, bornMs: 9, layers: undefined })).toBe(false);
  });
});
