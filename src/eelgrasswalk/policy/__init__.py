"""Decision logic without I/O; clocks and randomness are passed in.

Several decisions exist twice, for eelgrasswalk-node first and for
eelgrasswalk-sidecar second:

- choice of upstreams: `placement.balance`, `placement.spread`
- admission at the target: `admission`, `capacity.slot_queue`
- limits on retries: `breaker`, `retry_budget`
- rates of client accounts: `quota`, `account_rates`
- look-up of accounts and routes: `routing`, `call_rules`
- knowledge of other nodes: `membership`, `roster`

Modules of the second kind use some types of the first.
"""
