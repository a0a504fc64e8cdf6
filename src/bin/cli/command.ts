/** What every command of the command line needs to ask and to show. */

import { setTimeout as sleep } from 'node:timers/promises';
import { MS_PER_SECOND } from '../../units';
import { createOperatorClient } from './createOperatorClient';
import type { OperatorClient, OperatorReply } from './createOperatorClient';
import { EXIT, exitCode } from './exitCode';
import { showFields } from './views';
import type { Show } from './views';

export interface CommonOptions {
  readonly vm: readonly string[];
  readonly token: string;
  readonly output: 'table' | 'json' | 'wide';
  /** Seconds between two looks; 0 looks once. */
  readonly watch: number;
}

/**
 * Asks once, or again and again with `--watch`, shows the answers and sets the exit code.
 *
 * @param options the options that all commands share
 * @param ask the question
 * @param show how a good answer looks as text
 */
export async function runCommand(
  options: CommonOptions,
  ask: (client: OperatorClient) => Promise<OperatorReply>,
  show: Show,
): Promise<void> {
  if (options.vm.length === 0 || options.token === '') {
    console.error('Name a VM with --vm or CITRONPASS_VMS, and a token with CITRONPASS_TOKEN');
    process.exitCode = EXIT.usage;
    return;
  }
  const client = createOperatorClient({ vms: options.vm, token: options.token });
  for (;;) {
    const reply = await ask(client);
    print(reply, options, show);
    process.exitCode = exitCode(reply.status);
    if (options.watch === 0) return;
    await sleep(options.watch * MS_PER_SECOND);
  }
}

function print({ status, body }: OperatorReply, { output }: CommonOptions, show: Show): void {
  const isGood = status > 0 && status < 400;
  if (output === 'json') {
    console.log(JSON.stringify(body, undefined, 2));
  } else if (isGood) {
    console.log(show(body, output === 'wide'));
  } else {
    console.error(showProblem(status, body));
  }
}

function showProblem(status: number, body: unknown): string {
  const { detail = 'no detail', outcome, plan } = body as Readonly<Record<string, unknown>>;
  const head = status === 0 ? 'unreachable' : `refused (${status}${showOutcome(outcome)})`;
  const fresh = plan === undefined ? '' : `\n${showFields({ 'fresh plan': plan }, false)}`;
  return `${head}: ${typeof detail === 'string' ? detail : JSON.stringify(detail)}${fresh}`;
}

function showOutcome(outcome: unknown): string {
  return typeof outcome === 'string' ? `, ${outcome}` : '';
}
