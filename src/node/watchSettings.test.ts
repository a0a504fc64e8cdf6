import { mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { watchSettings } from './watchSettings';

let folder: string;
let file: string;

beforeEach(() => {
  jest.useFakeTimers();
  folder = mkdtempSync(join(tmpdir(), 'settings-'));
  file = join(folder, 'vm.toml');
  writeFileSync(file, '');
  utimesSync(file, 1_000, 1_000);
});

afterEach(() => {
  jest.useRealTimers();
  rmSync(folder, { recursive: true });
});

describe('watchSettings', () => {
  it('reports each change once', () => {
    let changes = 0;
    watchSettings(file, () => {
      changes += 1;
    });
    jest.advanceTimersByTime(4_000);
    expect(changes).toBe(0);
    utimesSync(file, 2_000, 2_000);
    jest.advanceTimersByTime(4_000);
    expect(changes).toBe(1);
  });

  it('waits for a file that is being replaced', () => {
    let changes = 0;
    watchSettings(file, () => {
      changes += 1;
    });
    rmSync(file);
    jest.advanceTimersByTime(2_000);
    expect(changes).toBe(0);
    writeFileSync(file, '');
    jest.advanceTimersByTime(2_000);
    expect(changes).toBe(1);
  });
});
