import type { Command, ProgramStateMachine } from '../state';
import type { Notifier } from './notifier';
import { CHANGE_KEYS } from './service';

/** Wakes the calls that wait for what a command has changed. */
export function announce(notifier: Notifier, machine: ProgramStateMachine, command: Command): void {
  switch (command.kind) {
    case 'accept-configuration':
      notifier.notify(CHANGE_KEYS.configuration);
      return;
    case 'forget-programs':
    case 'confirm-orders':
      return;
    case 'create-program':
      notifier.notify(CHANGE_KEYS.program(command.input.id));
      return;
    case 'begin-step':
    case 'resolve-step':
      notifier.notify(CHANGE_KEYS.program(command.input.program));
      return;
    case 'abandon-step':
    case 'complete-step':
    case 'end-program':
      notifier.notify(CHANGE_KEYS.program(command.input.program));
      announceOrders(notifier, machine);
  }
}

/** The end of a program brings orders, and so does a turn that outlasts its program. */
function announceOrders(notifier: Notifier, machine: ProgramStateMachine): void {
  for (const order of machine.tables.orders.values()) {
    notifier.notify(CHANGE_KEYS.orders(order.target));
  }
}
