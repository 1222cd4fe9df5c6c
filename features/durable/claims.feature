Feature: An order's key is claimed once, and a refusal that says "not run" leaves the key free

  Scenario Outline: A claim under a fault is told truthfully: <fault>
    Given a claim store
    When the fault "<fault>" is in force while order r1 claims key k
    Then the claim is <result>
    And once the store is well, the caller's repeat as r2 <repeat>

    Examples:
      | fault                  | result           | repeat         |
      | none                   | new              | finds r1       |
      | answer lost            | new              | finds r1       |
      | request lost           | new              | finds r1       |
      | all answers lost       | new              | finds r1       |
      | store slow             | new              | finds r1       |
      | store down             | refused, not_run | claims the key |
      | all requests lost      | refused, not_run | claims the key |
      | store too slow         | refused, not_run | claims the key |
      | answer lost, then down | refused, not_run | claims the key |

  Scenario: A claim that lands after it was given up can't take the key back
    Given a claim store
    When order r1's claim is given up and lands after the key was made free
    Then the key is void, and order r2 claims it

  Scenario: Of two repeats at once one claims the key
    Given a claim store
    When orders r1 and r2 claim key k at once
    Then exactly one claim is new and both name the same order

  Scenario: Another order under the same key is refused
    Given a claim store
    When order r1 claims key k and another order comes under it
    Then the other order is refused with "idempotency_key_reused"

  Scenario: An order that ended answers its repeats
    Given a claim store
    When order r1 claims key k and ends with status 200 and "opened"
    Then a repeat finds "ended" with status 200 and "opened"
    And another customer's order under the same key is new
