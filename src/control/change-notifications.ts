import type { Command } from '../state';
import { CHANGE_KEYS, type ChangeNotifier } from './change-notifier';

/**
 * Wakes calls that wait for the program that `command` changed; `onOrders` runs if the command may
 * have created orders.
 */
export function notifyChange(
  notifier: ChangeNotifier,
  command: Command,
  onOrders: () => void,
): void {
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
    // Orders are created when a program ends and when a turn finishes after its program ended.
    case 'abandon-step':
    case 'complete-step':
    case 'end-program':
      notifier.notify(CHANGE_KEYS.program(command.input.program));
      onOrders();
  }
}
