/** Records the events and effects of several VMs in one session, in order. */

import type { Tagged } from '../src/decisions/decision';
import { describeMessage } from './describeMessage';

/** Effects that are left out because they do not show a decision. */
const omittedEffects: readonly string[] = ['count', 'observe-server'];

export interface Session {
  /** Adds a heading line. */
  readonly addHeading: (line: string) => void;
  /** Adds an event of a VM and the effects that follow from it. */
  readonly record: (vm: string, event: Tagged, effects: readonly Tagged[]) => void;
  readonly text: () => string;
}

/** Creates an empty session. */
export function createSession(): Session {
  const lines: string[] = [];
  return {
    addHeading: (line) => {
      lines.push('', `# ${line}`);
    },
    record: (vm, event, effects) => {
      lines.push(`${vm} < ${describeMessage(event)}`);
      const shown = effects.filter(({ type }) => !omittedEffects.includes(type));
      for (const effect of shown) lines.push(`${vm}     > ${describeMessage(effect)}`);
    },
    text: () => lines.join('\n'),
  };
}
