import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { EXIT_USAGE } from '../node/constants';
import { runDaemon } from './runDaemon';

const SETTINGS = `
[vm]
id = "vm-1"
region = 7
failure_domain = "a"
[listen]
http = "127.0.0.1:0"
peer = "somewhere"
gossip = "127.0.0.1:0"
[platform]
table = "http://127.0.0.1:1"
membership = "http://127.0.0.1:1"
[fleet]
key = { file = "KEY" }
[limits]
prompt_tokens = 0
`;

describe('runDaemon', () => {
  let folder: string;
  let errors: string[];
  let lines: string[];

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'citronpass-'));
    errors = [];
    lines = [];
    jest.spyOn(console, 'error').mockImplementation((line: string) => errors.push(line));
    jest.spyOn(console, 'log').mockImplementation((line: string) => lines.push(line));
  });

  afterEach(() => {
    jest.restoreAllMocks();
    rmSync(folder, { recursive: true });
    process.exitCode = 0;
  });

  const check = async (settings: string): Promise<string> => {
    const file = join(folder, 'vm.toml');
    writeFileSync(join(folder, 'KEY'), 'k'.repeat(32));
    writeFileSync(file, settings.replace('"KEY"', JSON.stringify(join(folder, 'KEY'))));
    await runDaemon(['--settings', file, '--check']);
    return file;
  };

  it('reports three errors at once, with file, key and accepted values, and exits with 2', async () => {
    const file = await check(SETTINGS);
    expect(errors).toEqual([
      `${file}: vm.region: accepted is a name`,
      `${file}: listen.peer: accepted is "IP:port" with a port from 0 to 65535, found "somewhere"`,
      `${file}: limits.prompt_tokens: accepted is a whole number from 1 to 1000000`,
    ]);
    expect(process.exitCode).toBe(EXIT_USAGE);
  });

  it('only validates the settings with --check', async () => {
    const file = await check(
      SETTINGS.replace('region = 7', 'region = "r"')
        .replace('"somewhere"', '"127.0.0.1:0"')
        .replace('prompt_tokens = 0', 'prompt_tokens = 1'),
    );
    expect(errors).toEqual([]);
    expect(lines).toEqual([`${file}: ok`]);
  });
});
