Feature: An agent holds the bill of each request until it is in the ledger

  Scenario Outline: <case>
    When this happens: <case>
    Then the bills offered are <offered> at a cost of <cost>

    Examples:
      | case                                          | offered | cost |
      | an answer is taken and 5 seconds pass         | 0       | 0    |
      | an answer is taken and 15 seconds pass        | 1       | 0.05 |
      | an answer is taken and acknowledged           | 0       | 0    |
      | an answer is never taken                      | 0       | 0    |
      | an answer is given up after it was taken      | 0       | 0    |
      | an answer is taken twice                      | 1       | 0.05 |
      | a cascade's last step follows a cheaper one   | 1       | 0.35 |
      | two steps of a cascade run here               | 1       | 0.10 |
      | a step that may be replaced waits 15 seconds  | 0       | 0    |
      | a step that may be replaced waits 90 seconds  | 1       | 0.05 |
      | the agent drains right after an answer        | 1       | 0.05 |

  Scenario: A graceful shutdown finishes what runs, hands over the bills and refuses new work
    Given an agent whose engine waits in the middle of an answer
    When the agent drains while an attempt runs and an entry collects its bills
    Then the answer is whole, a new attempt is refused as DRAINING and the drain is complete

  Scenario: A graceful shutdown is bounded
    Given an agent whose engine waits in the middle of an answer
    When the agent drains for 10 seconds and the engine never goes on
    Then the drain is not complete and took 10 seconds
