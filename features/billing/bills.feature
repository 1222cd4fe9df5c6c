Feature: Each request is billed exactly once

  Scenario Outline: A flush under a fault adds each bill once: <fault>
    Given 300 requests with bills in an outbox
    When the fault "<fault>" is active during a flush and then ends
    And the outbox is flushed until it is empty
    Then the ledger contains 300 bills, one per request
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

  Scenario: Bills that are in the outboxes of two processes are added once
    Given 300 requests with bills in an outbox
    When another process has the same bills and both flush concurrently
    Then the ledger contains 300 bills, one per request
    And the totals equal the ledger

  Scenario: A second bill that differs from the first is counted as a conflict, and the first is retained
    Given 3 requests with bills in an outbox
    When the bills are flushed, and then one request is billed again at a different cost
    Then the ledger contains 3 bills, one per request
    And one conflict is counted and the first cost is retained

  Scenario Outline: When a process is stopped <moment>, no bill is lost and none is added twice
    Given 300 requests with bills in an outbox
    When its flusher is stopped <moment> and the agents' copies are flushed by another process
    Then the ledger contains 300 bills, one per request
    And the totals equal the ledger

    Examples:
      | moment         |
      | before a flush |
      | within a flush |

  Scenario: During a long outage the outbox retains every bill, and requests are refused once it is full
    Given an outbox of capacity 1000 and a store that is down
    When 1500 requests arrive, of which 20 are in flight at a time
    Then the outbox contains no more than 1020 bills and later requests are refused
    And when the store is available again, every accepted request is billed once

  Scenario: Violated invariants of the outbox and the ledger raise an error
    Then an outbox whose number of bills is inconsistent raises an invariant error
    And a page with two bills of one request raises an invariant error

  Scenario: The request id alone determines the ledger page of a bill
    Then ids of one boot share pages of 128; other days, boots and id formats have separate pages

  Scenario: Usage is read from few rows and can be limited to one member
    Given 3000 requests of members m and n with bills in an outbox
    When the outbox is flushed until it is empty
    Then the usage of member m has the correct lines and takes 1 read
    And reading the bills of the day in pages of 4 rows returns all of them
