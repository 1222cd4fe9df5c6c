Feature: The outcome that an agent reports to an entry for an attempt under a fault

  Each example is run for a lookup, an answer, a durable request and an order.

  Scenario Outline: <fault>
    When an attempt of each kind encounters <fault>
    Then it ends as <code> with execution status <ran> and <n> executions

    Examples:
      | fault                                           | code                | ran     | n |
      | an interruption before the send                 | UPSTREAM_DOWN       | not_run | 0 |
      | an interruption after the send                  | UPSTREAM_FAILED     | unknown | 1 |
      | an interruption of the stream                   | UPSTREAM_FAILED     | ran     | 1 |
      | an engine crash during the stream               | UPSTREAM_FAILED     | ran     | 1 |
      | an engine crash and a fast restart              | UPSTREAM_FAILED     | ran     | 1 |
      | a freeze of the agent before admission          | DEADLINE_PASSED     | not_run | 0 |
      | a freeze of the agent before the send           | DEADLINE_PASSED     | not_run | 0 |
      | a deadline that passes while it runs            | DEADLINE_PASSED     | ran     | 1 |
      | a restart of the agent                          | STALE_BOOT          | not_run | 0 |
      | a copy while it runs                            | Final               | ran     | 1 |
      | a copy after its end                            | Final               | ran     | 1 |
      | a copy after its answer is freed                | IN_PROGRESS         | ran     | 1 |
      | a fence before it arrives                       | FENCED              | not_run | 0 |
      | a fence before the send                         | FENCED              | not_run | 0 |
      | a fence while it runs                           | Final               | ran     | 1 |
      | a cancellation that arrives before it           | FENCED              | not_run | 0 |
      | a copy after a refusal                          | FENCED              | not_run | 0 |
      | a restarted engine at its cold limit            | UPSTREAM_FULL       | not_run | 0 |
      | an upstream that is down                        | UPSTREAM_DOWN       | not_run | 0 |
      | a failure domain taken out by the configuration | DOMAIN_OUT          | not_run | 0 |
      | a failure domain taken out by a notice          | DOMAIN_OUT          | not_run | 0 |
      | a version withdrawn by the configuration        | VERSION_WITHDRAWN   | not_run | 0 |
      | a version withdrawn by a notice                 | VERSION_WITHDRAWN   | not_run | 0 |
      | a version withdrawn before the send             | VERSION_WITHDRAWN   | not_run | 0 |
      | a version that is not loaded                    | NOT_READY           | not_run | 0 |
      | a version unloaded before the send              | NOT_READY           | not_run | 0 |
      | a model that is no longer allowed               | MODEL_NOT_ALLOWED   | not_run | 0 |
      | a customer of a newer revision                  | STALE_REVISION      | not_run | 0 |
      | a quarantine of its digest                      | CRASHES_UPSTREAMS   | not_run | 0 |
      | an upstream that is leaving                     | DRAINING            | not_run | 0 |
      | an agent that drains                            | DRAINING            | not_run | 0 |
