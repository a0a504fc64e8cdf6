import { OPERATOR_TOKEN, startTestSite } from '../../node/testSite';
import type { TestSite } from '../../node/testSite';
import { EXIT } from './getExitCode';
import { runCli } from './runCli';

describe('runCli', () => {
  let site: TestSite;
  let output: string;

  beforeAll(async () => {
    site = await startTestSite();
  });

  afterAll(async () => {
    await site.stop();
  });

  beforeEach(() => {
    output = '';
    const appendLine = (line: string): void => {
      output += `${line}\n`;
    };
    jest.spyOn(console, 'log').mockImplementation(appendLine);
    jest.spyOn(console, 'error').mockImplementation(appendLine);
    process.env.CITRONPASS_TOKEN = OPERATOR_TOKEN;
  });

  afterEach(() => {
    jest.restoreAllMocks();
    delete process.env.CITRONPASS_TOKEN;
    process.exitCode = 0;
  });

  const run = async (...commandLine: string[]): Promise<string> => {
    await runCli([...commandLine, '--vm', site.url]);
    return output;
  };

  it('prints VMs and backend servers as tables', async () => {
    expect(await run('vms')).toMatch(/VM +STATUS +ACCEPTS.*\n.*vm-1 +self +true/);
    expect(await run('backends')).toMatch(/engine-0 +engine +true +live/);
  });

  it('explains a backend server', async () => {
    expect(await run('explain', 'engine-1')).toMatch(/layers +{"from":4,"to":8}/);
  });

  it('plans, shows, confirms and audits a change', async () => {
    const planned = await run('plan', 'retire-service', 'kiambu', 'desk', '--reason', 'moved');
    const plan = /^plan (\S+) \(proposed\)/.exec(planned)?.[1] ?? '';
    expect(await run('plans', plan)).toContain('remove service kiambu/desk');
    expect(await run('confirm', plan, '--output', 'json')).toContain('"status": "done"');
    expect(await run('audit', '--verify')).toMatch(/amina +confirmed .*moved/);
    expect(process.exitCode).toBe(EXIT.ok);
  });

  it('sets the exit code for an impossible plan, a wrong token and an unreachable VM', async () => {
    await run('plan', 'retire-service', 'kiambu', 'none', '--reason', 'moved');
    expect(process.exitCode).toBe(EXIT.refused);
    process.env.CITRONPASS_TOKEN = 'wrong';
    await run('status');
    expect(process.exitCode).toBe(EXIT.usage);
    await runCli(['status', '--vm', 'http://127.0.0.1:1']);
    expect(process.exitCode).toBe(EXIT.unreachable);
  });

  it('tries the next VM if the first cannot be reached', async () => {
    await run('status', '--vm', 'http://127.0.0.1:1');
    expect(output).toContain('vm-1');
  });
});
