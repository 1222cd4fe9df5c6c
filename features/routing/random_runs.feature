Feature: Random runs of the core of an entry break no promise

  Requests, ticks, ends of attempts, crashes, revisions, notices, load reports, lists of VMs and waits
  in random order. After each step: every request is in exactly one place, the own counts are right;
  at each start the placement breaks no promise, by the program's check and by the test's own books.

  Scenario: Random runs
    Given random runs of 100 steps, 150 of them, without a stored database
    Then no run breaks an invariant
    And starts, crashes, retries, refusals and expiries all occurred
