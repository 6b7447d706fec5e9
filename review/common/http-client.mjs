// A client's attempt on a new connection, unless an agent is given.
import { request as httpRequest } from 'node:http';

/** Resolves with `status` 0 if no answer has begun; `whole` tells whether the answer ended properly. */
export function send({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeout = 10_000,
  agent = false,
  onStart,
}) {
  return new Promise((resolve) => {
    let status = 0;
    let responseHeaders = {};
    const chunks = [];
    const finish = (whole, error) => {
      clearTimeout(timer);
      const text = Buffer.concat(chunks).toString('latin1');
      resolve({ status, headers: responseHeaders, body: text, whole, error });
    };
    const length = body === undefined ? {} : { 'content-length': Buffer.byteLength(body) };
    const sent = httpRequest(
      { host, port, method, path, agent, headers: { ...headers, ...length } },
      (response) => {
        status = response.statusCode;
        responseHeaders = response.headers;
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => finish(response.complete));
        response.on('error', (error) => finish(false, error.code ?? error.message));
      },
    );
    const timer = setTimeout(() => {
      sent.destroy(new Error('client gave up'));
    }, timeout);
    sent.on('error', (error) => finish(false, error.code ?? error.message));
    sent.end(body);
    onStart?.(sent);
  });
}
