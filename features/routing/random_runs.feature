Feature: Random event sequences violate no invariant of an entry's core

  The events are requests, ticks, ends of attempts, crashes, revisions, notices, load reports, lists
  of VMs and waits, in random order. After each step every request is in exactly one place, and the
  entry's counts of its own attempts are right. At each start of an attempt the placement is valid by
  the program's check and by the test's independent records.

  Scenario: Random event sequences
    Given random runs of 100 steps, 150 of them, without a stored example database
    Then no run breaks an invariant
    And starts, crashes, retries, refusals and expiries all occurred
