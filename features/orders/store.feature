Feature: Outcomes of orders with claims in the platform's tables are true under faults of the store

  Scenario Outline: A fault of the store while an order is claimed: <fault>
    Given orders with claims in the platform's tables
    When order r1 with key k is sent while the fault "<fault>" is active
    Then order r1 is reported as <outcome> and has run <runs> times
    And once the store has recovered, a repeat is answered and the key's order has run once in total

    Examples:
      | fault                  | outcome  | runs |
      | none                   | answered | 1    |
      | answer lost            | answered | 1    |
      | request lost           | answered | 1    |
      | store slow             | answered | 1    |
      | store down             | not_run  | 0    |
      | all requests lost      | not_run  | 0    |
      | all answers lost       | not_run  | 0    |
      | store too slow         | not_run  | 0    |
      | answer lost, then down | not_run  | 0    |

  Scenario: Only one of two concurrent calls of a key runs
    Given orders with claims in the platform's tables
    When orders r1 and r2 with key k are sent concurrently
    Then the order of the key has run once and at most one call is asked to retry later

  Scenario: Another order with the same key is refused
    Given orders with claims in the platform's tables
    When order r1 with key k is sent, then another order with the same key
    Then the other order is refused with "idempotency_key_reused" and has not run

  Scenario: A claim that is applied after its order was refused does not block the key
    Given orders with claims in the platform's tables
    When order r1 with key k is refused and its claim is applied afterwards
    Then once the store has recovered, a repeat is answered and the key's order has run once in total

  Scenario: Customers do not share keys
    Given orders with claims in the platform's tables
    When order r1 with key k is sent, then another customer's order with the same key
    Then both orders were answered and each ran once
