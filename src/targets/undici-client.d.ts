/** Importing only the client avoids loading fetch and WebSocket. */
declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici';

  export default Client;
}
