Feature: Each request is billed once

  Scenario Outline: A flush under a fault adds each bill once: <fault>
    Given 300 requests with bills in an outbox
    When the fault "<fault>" is in force during a flush, and ends
    And the outbox is flushed until it is empty
    Then the ledger holds 300 bills, one a request
    And the totals equal the ledger

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

  Scenario: Bills that two processes hold are added once
    Given 300 requests with bills in an outbox
    When another process holds the same bills and both flush at once
    Then the ledger holds 300 bills, one a request
    And the totals equal the ledger

  Scenario: A bill that differs from the first is counted and the first stands
    Given 3 requests with bills in an outbox
    When they are flushed, and then one is billed again at another cost
    Then the ledger holds 3 bills, one a request
    And one conflict is counted and the first cost stands

  Scenario Outline: A process that is stopped <moment> leaves no bill behind and none twice
    Given 300 requests with bills in an outbox
    When its flusher is stopped <moment> and the agents' copies are flushed by another process
    Then the ledger holds 300 bills, one a request
    And the totals equal the ledger

    Examples:
      | moment         |
      | before a flush |
      | within a flush |

  Scenario: Through a long outage the outbox keeps every bill and asks for refusals at its bound
    Given an outbox of capacity 1000 and a store that is down
    When 1500 requests arrive, of which 20 are in flight at a time
    Then no more than 1020 bills are held and later requests are refused
    And when the store returns every accepted request is billed once

  Scenario: The invariants of outbox and ledger are asserted
    Then an outbox whose count is wrong raises an invariant error
    And a page with two bills of one request raises an invariant error

  Scenario: The page of a bill follows from the request id alone
    Then ids of one run share pages of 128, and pages never meet across days, runs or other ids

  Scenario: Usage is read from few rows, for one member at a time
    Given 3000 requests of members m and n with bills in an outbox
    When the outbox is flushed until it is empty
    Then usage of member m has the right lines and costs 1 read
    And reading the bills of the day in pages of 4 rows gives all of them
