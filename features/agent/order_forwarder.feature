Feature: Orders to an engine that ignores fencing numbers pass its agent

  Scenario Outline: <case>
    Given an agent whose platform tells <told> as the controller's number
    When these orders come: <orders>
    Then the replies are <replies> and the engine has carried out <done>

    Examples:
      | case                                    | told    | orders | replies                  | done |
      | The present controller                  | 7       | 7 7    | passed passed            | 7 7  |
      | An old controller after a restart       | 7       | 6      | stale_fence              | none |
      | An old controller after a newer one     | 7       | 8 7    | passed stale_fence       | 8    |
      | The platform down after a restart       | nothing | 9      | stale_fence              | none |
      | The platform hanging after a restart    | silence | 9      | stale_fence              | none |
      | Two at once                             | 7       | 8+7    | passed stale_fence       | 8    |

  Scenario Outline: an engine that answers an order with <answer>
    When an order with number 7 is posted to an engine that answers <answer>
    Then the order's end is <end> with ran <ran>

    Examples:
      | answer                                | end             | ran     |
      | 200 {"accepted":true,"number":7}      | passed          | ran     |
      | 409 {"accepted":false,"number":8}     | STALE_FENCE     | not_run |
      | 409 {"accepted":false,"number":7}     | UPSTREAM_FAILED | not_run |
      | 200 nonsense                          | UPSTREAM_FAILED | unknown |
      | 500 {}                                | UPSTREAM_FAILED | unknown |

  Scenario Outline: an engine whose load is told as <answer>
    When the loaded versions are read from an engine that answers <answer>
    Then they are <loaded>

    Examples:
      | answer                              | loaded  |
      | 200 {"loaded":["delta/assess@v1"]}  | 1       |
      | 200 {"loaded":[]}                   | 0       |
      | 200 {"queued":3}                    | unknown |
      | 200 nonsense                        | unknown |
      | 404 {}                              | unknown |
      | 503 {"loaded":[]}                   | failed  |
