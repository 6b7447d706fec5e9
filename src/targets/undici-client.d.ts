/** The client alone, so that a process loads neither fetch nor WebSockets with it. */
declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici';

  export default Client;
}
