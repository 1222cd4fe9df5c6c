Feature: The client of the platform's service neither blocks its callers nor lies to them

  Scenario Outline: No call waits longer than its bound: <fault>
    Given a client with a bound of 3 s on each call
    When the fault "<fault>" is in force and 20 writes are made one after the other
    Then no write took longer than 3 s
    And each write is told truthfully

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

  Scenario: While the store fails calls are refused at once, and a probe finds its return
    Given a client whose circuit opens after 5 failures
    When the store is down for 60 s under 10 calls a second, and returns
    Then calls that met the open circuit took no time
    And no more than 3 attempts a second reached the store
    And the first call that succeeds comes within 1 s of the return

  Scenario: Delays between retries grow, stay within their bound and differ between clients
    Then backoff delays follow their bounds and their random state

  Scenario: A process stays within its share of the store's writes
    Given a client with a budget of 50 writes a second and a burst of 10
    When 400 writes are made at once
    Then no second saw more than 60 writes
    And the writes beyond the budget are refused as not applied

  Scenario: Independent writes share transactions
    Given a batcher over a store that takes 0.02 s a call
    When 500 callers insert a row each at once
    Then all are applied in at most 10 transactions

  Scenario Outline: A conflict touches its own caller only: <n> of 50 conflict
    Given a batcher over a store that takes 0.02 s a call
    When 50 callers insert a row each at once and <n> of the rows stand already
    Then <n> callers get a conflict and the others are applied
    And there were at most <transacts> transactions

    Examples:
      | n  | transacts |
      | 0  | 1         |
      | 1  | 2         |
      | 25 | 2         |
      | 50 | 1         |

  Scenario: Writes to one row keep their order in different transactions
    Given a batcher over a store that takes 0.02 s a call
    When 5 callers write the same row without a condition
    Then the row ends with the last one's value at version 5

  Scenario Outline: A batch under a fault is told truthfully to each caller: <fault>
    Given a batcher over a store that takes 0.02 s a call
    When the fault "<fault>" is in force and 20 callers insert a row each at once
    Then each caller is told truthfully

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

  Scenario: A batch that holds an applied write applies the others
    Given a batcher over a store that takes 0.02 s a call
    When a write that is applied already is sent again together with a new one
    Then both are applied once

  Scenario: A full queue refuses, and a stopped batcher leaves no caller behind
    Given a batcher over a store that takes 0.02 s a call
    Then writes beyond its queue are refused at once as not applied
    And callers of a stopped batcher are refused as not applied

  Scenario: The list of VMs lags, the weight store is limited, and ratings stop or lie
    Then a VM that left is listed until the lag has passed
    And a second reservation of weights waits for the limit
    And ratings of a good version are good, then stop, then lie
