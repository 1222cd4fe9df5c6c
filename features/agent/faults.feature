Feature: What an entry is told of an attempt under a fault

  Each row is run for a lookup, an answer, a durable request and an order.

  Scenario Outline: <fault>
    When <fault> strikes an attempt of each kind
    Then it ends as <code> with ran <ran> and <n> executions

    Examples:
      | fault                            | code                | ran     | n |
      | a cut before the send            | UPSTREAM_DOWN       | not_run | 0 |
      | a cut after the send             | UPSTREAM_FAILED     | unknown | 1 |
      | a cut in the stream              | UPSTREAM_FAILED     | ran     | 1 |
      | a crash in the stream            | UPSTREAM_FAILED     | ran     | 1 |
      | a crash and a fast restart       | UPSTREAM_FAILED     | ran     | 1 |
      | a freeze before the admission    | DEADLINE_PASSED     | not_run | 0 |
      | a freeze before the send         | DEADLINE_PASSED     | not_run | 0 |
      | the deadline while it runs       | DEADLINE_PASSED     | ran     | 1 |
      | a restart of the agent           | STALE_BOOT          | not_run | 0 |
      | a copy while it runs             | Final               | ran     | 1 |
      | a copy after its end             | Final               | ran     | 1 |
      | a copy after its answer is freed | IN_PROGRESS         | ran     | 1 |
      | a fence before it arrives        | FENCED              | not_run | 0 |
      | a fence before the send          | FENCED              | not_run | 0 |
      | a fence while it runs            | Final               | ran     | 1 |
      | a cancel that overtakes it       | FENCED              | not_run | 0 |
      | a copy after a refusal           | FENCED              | not_run | 0 |
      | the engine turning cold          | UPSTREAM_FULL       | not_run | 0 |
      | the upstream down                | UPSTREAM_DOWN       | not_run | 0 |
      | a domain out by document         | DOMAIN_OUT          | not_run | 0 |
      | a domain out by notice           | DOMAIN_OUT          | not_run | 0 |
      | a withdrawal by document         | VERSION_WITHDRAWN   | not_run | 0 |
      | a withdrawal by notice           | VERSION_WITHDRAWN   | not_run | 0 |
      | a withdrawal before the send     | VERSION_WITHDRAWN   | not_run | 0 |
      | a version not loaded             | NOT_READY           | not_run | 0 |
      | an unload before the send        | NOT_READY           | not_run | 0 |
      | an allowed set narrowed          | MODEL_NOT_ALLOWED   | not_run | 0 |
      | a customer of a newer revision   | STALE_REVISION      | not_run | 0 |
      | a quarantine                     | CRASHES_UPSTREAMS   | not_run | 0 |
      | the upstream leaving             | DRAINING            | not_run | 0 |
      | a drain                          | DRAINING            | not_run | 0 |
