Feature: The client of the platform's service bounds waits and reports true outcomes

  Scenario Outline: No call waits longer than its timeout: <fault>
    Given a client with a timeout of 3 s per call
    When the fault "<fault>" is active and 20 writes are made one after the other
    Then no write took longer than 3 s
    And the outcome of each write is reported truthfully

    Examples:
      | fault                  |
      | none                   |
      | answer lost            |
      | request lost           |
      | all answers lost       |
      | all requests lost      |
      | store slow             |
      | store too slow         |
      | store down             |
      | answer lost, then down |

  Scenario: While the store fails, calls are refused at once, and a probe detects its recovery
    Given a client whose circuit opens after 5 failures
    When the store is down for 60 s under 10 calls per second, and then recovers
    Then calls refused by the open circuit took no time
    And no more than 3 attempts per second reached the store
    And the first successful call is within 1 s of the recovery

  Scenario: Delays between retries grow, stay within their bound and differ between clients
    Then backoff delays stay within their bounds and depend on the random state

  Scenario: A process stays within its share of the store's write capacity
    Given a client with a budget of 50 writes per second and a burst of 10
    When 400 writes are made at once
    Then no more than 60 writes reached the store in any second
    And the writes beyond the budget are refused as not applied

  Scenario: Independent writes share transactions
    Given a batcher over a store that takes 0.02 s per call
    When 500 callers insert one row each at once
    Then all are applied in at most 10 transactions

  Scenario Outline: A conflict affects its own caller only: <n> of 50 conflict
    Given a batcher over a store that takes 0.02 s per call
    When 50 callers insert one row each at once and <n> of the rows already exist
    Then <n> callers get a conflict and the writes of the others are applied
    And there were at most <transacts> transactions

    Examples:
      | n  | transacts |
      | 0  | 1         |
      | 1  | 2         |
      | 25 | 2         |
      | 50 | 1         |

  Scenario: Writes to one row keep their order, in separate transactions
    Given a batcher over a store that takes 0.02 s per call
    When 5 callers write the same row without a condition
    Then the row has the value of the last write and version 5

  Scenario Outline: Each caller of a batch gets the true outcome under a fault: <fault>
    Given a batcher over a store that takes 0.02 s per call
    When the fault "<fault>" is active and 20 callers insert one row each at once
    Then each caller gets the true outcome of its write

    Examples:
      | fault                  |
      | none                   |
      | answer lost            |
      | request lost           |
      | all answers lost       |
      | all requests lost      |
      | store too slow         |
      | store down             |
      | answer lost, then down |

  Scenario: A batch with a write that is already applied applies the other writes
    Given a batcher over a store that takes 0.02 s per call
    When a write that is already applied is sent again together with a new one
    Then both are applied once

  Scenario: A full queue refuses writes, and a stopped batcher refuses all waiting callers
    Given a batcher over a store that takes 0.02 s per call
    Then writes beyond the capacity of its queue are refused at once as not applied
    And callers of a stopped batcher are refused as not applied

  Scenario: The list of VMs lags, the weight store is rate-limited, and ratings fail or are wrong
    Then a removed VM is listed until the lag has passed
    And a second reservation of weights waits for the rate limit
    And ratings of a good version are right, then unavailable, then inverted
