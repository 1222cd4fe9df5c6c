Feature: Orders over the platform's tables are told truthfully under faults of the store

  Scenario Outline: A fault of the store while an order is claimed: <fault>
    Given orders over the platform's tables
    When order r1 of key k is called while the fault "<fault>" is in force
    Then order r1 is told as <told> and has run <runs> times
    And once the store is well, a repeat is answered and the key has run once in all

    Examples:
      | fault                  | told     | runs |
      | none                   | answered | 1    |
      | answer lost            | answered | 1    |
      | request lost           | answered | 1    |
      | store slow             | answered | 1    |
      | store down             | not_run  | 0    |
      | all requests lost      | not_run  | 0    |
      | all answers lost       | not_run  | 0    |
      | store too slow         | not_run  | 0    |
      | answer lost, then down | not_run  | 0    |

  Scenario: Of two calls of one key at once one runs
    Given orders over the platform's tables
    When orders r1 and r2 of key k are called at once
    Then the key has run once and at most one call is told to come back

  Scenario: Another order under the same key is refused
    Given orders over the platform's tables
    When order r1 of key k is called, then another order under the key
    Then the other order is refused with "idempotency_key_reused" and has not run

  Scenario: A claim that lands after its order was refused does not block the key
    Given orders over the platform's tables
    When order r1 of key k is refused and its claim lands afterwards
    Then once the store is well, a repeat is answered and the key has run once in all

  Scenario: Customers do not share keys
    Given orders over the platform's tables
    When order r1 of key k is called, then one of another customer under the key
    Then both orders were answered and each ran once
