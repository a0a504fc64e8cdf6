/** Operators: two of them state and confirm the same change on two VMs at the same moment. */

import { deliver } from './deliver';
import { drawDelay } from './network';
import type { Work } from './soakItem';
import { WALL_START_MS } from './startNode';
import type { OperatorRequest } from '../../src/plans/planMessage';
import type { SoakNode, World } from './soakWorld';

type ChangeWork = Extract<Work, { readonly type: 'change' }>;

/** Has two operators change one workspace. */
export function startChange(world: World, work: ChangeWork): void {
  for (const operator of ['ada', 'ben']) changeShare(world, operator, work.share);
}

function changeShare(world: World, operator: string, share: number): void {
  const node = world.random.pick(world.nodes);
  const workspace = node.state.plans.configuration.workspace.get('kiambu');
  if (workspace === undefined) return;
  const intent = { type: 'put-workspace', workspace: { ...workspace, share } } as const;
  const asked = { type: 'state-intent', intent, reason: 'soak' } as const;
  askPlans(world, node, operator, asked, (answer) => {
    const { body } = answer as { readonly body: { readonly plan?: { readonly id: string } } };
    const plan = body.plan?.id;
    if (plan === undefined) return;
    askPlans(world, node, operator, { type: 'confirm-plan', plan }, () => undefined);
  });
}

function askPlans(
  world: World,
  node: SoakNode,
  name: string,
  ask: OperatorRequest,
  answered: (answer: unknown) => void,
): void {
  const call = `o${world.nextId}`;
  const id = `plan-${world.nextId}`;
  world.nextId += 1;
  node.waiting.set(call, answered);
  world.schedule(drawDelay(world), () => {
    const wallMs = WALL_START_MS + Math.floor(world.nowMs);
    const operator = { name, role: 'confirm' } as const;
    const event = { type: 'operator-asked', call, operator, ask, wallMs, id } as const;
    deliver(world, node, { side: 'plans', event });
  });
}
