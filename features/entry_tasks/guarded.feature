Feature: An exception in one task does not end an entry

  Scenario: A periodic task that fails is restarted
    Given a task that fails 2 times and then continues
    When it runs under the guard next to another task
    Then it finally continues, 2 failures are counted and the other task ran without interruption

  Scenario: A corrupt row in the store does not end the entries that read it
    Given a table of roll-outs with a corrupt row
    When an entry reads the roll-outs periodically under the guard
    Then the failure is counted and the entry continues
