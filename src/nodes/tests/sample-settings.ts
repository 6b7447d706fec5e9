/** Settings of a process without listeners. */
export const SAMPLE_SETTINGS = `
[node]
name = "g1"
availability-zone = "a"
address = "127.0.0.1:7000"
first-start = true
seeds = ["10.0.0.1:1"]
tolerated-losses = 1
stop-seconds = 8
[listen]
[target-list]
address = "127.0.0.1:7001"
calls-per-second = 10
`;
