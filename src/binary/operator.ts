import { runOperatorCommand } from '../operator';

void runOperatorCommand();
