/** Runs a command: sends its request, prints the reply and sets the exit code. */

import { setTimeout as sleep } from 'node:timers/promises';
import { MS_PER_SECOND } from '../../units';
import { createOperatorClient } from './createOperatorClient';
import type { OperatorClient, OperatorReply } from './createOperatorClient';
import { EXIT, getExitCode } from './getExitCode';
import { formatFields } from './views';
import type { FormatBody } from './views';

export interface CommonOptions {
  readonly vm: readonly string[];
  readonly token: string;
  readonly output: 'table' | 'json' | 'wide';
  /** Seconds between two requests; 0 sends one request. */
  readonly watch: number;
}

/**
 * Sends a request once, or repeatedly with `--watch`, prints the replies and sets the exit code.
 *
 * @param options the options that all commands share
 * @param sendRequest sends the request
 * @param formatBody formats the body of a successful reply
 */
export async function runCommand(
  options: CommonOptions,
  sendRequest: (client: OperatorClient) => Promise<OperatorReply>,
  formatBody: FormatBody,
): Promise<void> {
  if (options.vm.length === 0 || options.token === '') {
    console.error('Name a VM with --vm or CITRONPASS_VMS, and a token with CITRONPASS_TOKEN');
    process.exitCode = EXIT.usage;
    return;
  }
  const client = createOperatorClient({ vms: options.vm, token: options.token });
  for (;;) {
    const reply = await sendRequest(client);
    print(reply, options, formatBody);
    process.exitCode = getExitCode(reply.status);
    if (options.watch === 0) return;
    await sleep(options.watch * MS_PER_SECOND);
  }
}

function print(
  { status, body }: OperatorReply,
  { output }: CommonOptions,
  formatBody: FormatBody,
): void {
  const isSuccess = status > 0 && status < 400;
  if (output === 'json') {
    console.log(JSON.stringify(body, undefined, 2));
  } else if (isSuccess) {
    console.log(formatBody(body, output === 'wide'));
  } else {
    console.error(formatProblem(status, body));
  }
}

function formatProblem(status: number, body: unknown): string {
  const { detail = 'no detail', outcome, plan } = body as Readonly<Record<string, unknown>>;
  const heading = status === 0 ? 'unreachable' : `refused (${status}${formatOutcome(outcome)})`;
  const freshPlan = plan === undefined ? '' : `\n${formatFields({ 'fresh plan': plan }, false)}`;
  return `${heading}: ${typeof detail === 'string' ? detail : JSON.stringify(detail)}${freshPlan}`;
}

function formatOutcome(outcome: unknown): string {
  return typeof outcome === 'string' ? `, ${outcome}` : '';
}
