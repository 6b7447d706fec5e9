import { runLocalCommand } from '../local';

void runLocalCommand();
