/** Records what several VMs decide in one session, in the order in which it happened. */

import type { Tagged } from '../src/decisions/decision';
import { describeMessage } from './describeMessage';

/** Effects that say nothing about what was decided. */
const quiet: readonly string[] = ['count', 'observe-server'];

export interface Session {
  /** Writes a line of its own. */
  readonly say: (line: string) => void;
  /** Writes an event of a VM and the effects that it led to. */
  readonly record: (vm: string, event: Tagged, effects: readonly Tagged[]) => void;
  readonly text: () => string;
}

/** Starts an empty record. */
export function createSession(): Session {
  const lines: string[] = [];
  return {
    say: (line) => {
      lines.push('', `# ${line}`);
    },
    record: (vm, event, effects) => {
      lines.push(`${vm} < ${describeMessage(event)}`);
      const shown = effects.filter(({ type }) => !quiet.includes(type));
      for (const effect of shown) lines.push(`${vm}     > ${describeMessage(effect)}`);
    },
    text: () => lines.join('\n'),
  };
}
