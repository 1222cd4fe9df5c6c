Feature: The agent fences orders to an engine that ignores fencing numbers

  In the table, the number nothing stands for a platform service whose call fails, and silence
  for one whose call never returns.

  Scenario Outline: <case>
    Given an agent whose platform service returns <number> as the controller's lease number
    When orders with these numbers arrive: <orders>
    Then the replies are <replies> and the engine has executed <executed>

    Examples:
      | case                                             | number  | orders | replies                  | executed |
      | The current controller                           | 7       | 7 7    | passed passed            | 7 7      |
      | An old controller after a restart of the agent   | 7       | 6      | stale_fence              | none     |
      | An old controller after a newer one              | 7       | 8 7    | passed stale_fence       | 8        |
      | A failing platform service after a restart       | nothing | 9      | stale_fence              | none     |
      | A hanging platform service after a restart       | silence | 9      | stale_fence              | none     |
      | Two orders at once                               | 7       | 8+7    | passed stale_fence       | 8        |

  Scenario Outline: The outcome of an order that an engine answers with <answer>
    When an order with number 7 is posted to an engine that answers <answer>
    Then the outcome of the order is <outcome> with execution status <ran>

    Examples:
      | answer                                | outcome         | ran     |
      | 200 {"accepted":true,"number":7}      | passed          | ran     |
      | 409 {"accepted":false,"number":8}     | STALE_FENCE     | not_run |
      | 409 {"accepted":false,"number":7}     | UPSTREAM_FAILED | not_run |
      | 200 nonsense                          | UPSTREAM_FAILED | unknown |
      | 500 {}                                | UPSTREAM_FAILED | unknown |

  Scenario Outline: The loaded versions of an engine that reports its load as <answer>
    When the loaded versions are read from an engine that answers <answer>
    Then the number of loaded versions is <loaded>

    Examples:
      | answer                              | loaded  |
      | 200 {"loaded":["delta/assess@v1"]}  | 1       |
      | 200 {"loaded":[]}                   | 0       |
      | 200 {"queued":3}                    | unknown |
      | 200 nonsense                        | unknown |
      | 404 {}                              | unknown |
      | 503 {"loaded":[]}                   | failed  |
