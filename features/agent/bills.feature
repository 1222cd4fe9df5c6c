Feature: An agent stores the bill of each request until it is in the ledger

  Scenario Outline: <case>
    When this case is run at an agent: <case>
    Then <offered> bills are offered at a total cost of <cost>

    Examples:
      | case                                              | offered | cost |
      | an answer is fetched and 5 seconds pass           | 0       | 0    |
      | an answer is fetched and 15 seconds pass          | 1       | 0.05 |
      | an answer is fetched and its bill acknowledged    | 0       | 0    |
      | the end of an answer is never fetched             | 0       | 0    |
      | an answer is cancelled after it was fetched       | 0       | 0    |
      | an answer is fetched twice                        | 1       | 0.05 |
      | the last step of a cascade follows a cheaper one  | 1       | 0.35 |
      | two steps of a cascade run at the same agent      | 1       | 0.10 |
      | a step that may be replaced waits 15 seconds      | 0       | 0    |
      | a step that may be replaced waits 90 seconds      | 1       | 0.05 |
      | the agent drains right after an answer            | 1       | 0.05 |

  Scenario: A graceful shutdown finishes running attempts, delivers the bills and refuses new attempts
    Given an agent whose engine pauses in the middle of an answer
    When the agent drains while an attempt is running and an entry collects the bills
    Then the answer is complete, a new attempt is refused as DRAINING and the drain completes

  Scenario: A graceful shutdown has a time limit
    Given an agent whose engine pauses in the middle of an answer
    When the agent drains for at most 10 seconds and the engine never continues
    Then the drain is not complete and took 10 seconds
