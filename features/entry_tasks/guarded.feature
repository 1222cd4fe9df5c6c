Feature: A fault of one task does not end an entry

  Scenario: A periodic task that fails is started again
    Given a task that fails 2 times and then goes on
    When it runs under the guard beside another task
    Then it goes on in the end, 2 failures are counted and the other task was not disturbed

  Scenario: A damaged row in the store does not end the entries that read it
    Given a table of roll-outs with a damaged row
    When an entry follows the roll-outs under the guard
    Then the failure is counted and the entry goes on
