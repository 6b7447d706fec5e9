import type { Command } from '../state';
import { CHANGE_KEYS, type Notifier } from './notifier';

/** Wakes the calls that wait for what a command has changed; tells of orders it may have brought. */
export function announce(notifier: Notifier, command: Command, onOrders: () => void): void {
  switch (command.kind) {
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
    // The end of a program brings orders, and so does a turn that outlasts its program.
    case 'abandon-step':
    case 'complete-step':
    case 'end-program':
      notifier.notify(CHANGE_KEYS.program(command.input.program));
      onOrders();
  }
}
