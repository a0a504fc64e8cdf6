import { createListedServer } from '../chains/testEngine';
import { isLeaving } from './isLeaving';

const listed = createListedServer('e', { layers: { from: 0, to: 4 } });

describe('isLeaving', () => {
  it('has streams leave a server that drains or is gone', () => {
    expect(isLeaving(listed, { ...listed, isDraining: true })).toBe(true);
    expect(isLeaving(listed, undefined)).toBe(true);
  });

  it('has streams leave an engine that gives up its layers', () => {
    expect(isLeaving(listed, { ...listed, layers: undefined })).toBe(true);
  });

  it('leaves streams where an engine only changes otherwise, or has restarted', () => {
    expect(isLeaving(listed, { ...listed, layers: { from: 0, to: 6 } })).toBe(false);
    expect(isLeaving(listed, { ...listed, bornMs: 9, layers: undefined })).toBe(false);
  });
});
