Feature: A lease has one holder at a time and a number that rises with each holder

  Scenario Outline: <step> under a fault tells truthfully whether the lease is held: <fault>
    Given nodes a and b that keep one lease
    And <step> is to be done by node a
    When the fault "<fault>" is in force at the step
    Then the outcome is "<result>"
    And after the fault node a holds the lease under number 1

    Examples:
      | step    | fault             | result           |
      | acquire | none              | holds it         |
      | acquire | answer lost       | holds it         |
      | acquire | request lost      | holds it         |
      | acquire | all answers lost  | has an error     |
      | acquire | all requests lost | has an error     |
      | acquire | store slow        | holds it         |
      | acquire | store too slow    | has an error     |
      | acquire | store down        | has an error     |
      | renew   | none              | holds it         |
      | renew   | answer lost       | holds it         |
      | renew   | request lost      | holds it         |
      | renew   | all answers lost  | keeps its deadline |
      | renew   | all requests lost | keeps its deadline |
      | renew   | store slow        | holds it         |
      | renew   | store too slow    | keeps its deadline |
      | renew   | store down        | keeps its deadline |

  Scenario: Two nodes acquire at once and one holds the lease
    Given nodes a and b that keep one lease
    When both acquire at once
    Then exactly one holds the lease under number 1

  Scenario: A paused holder knows that its lease lapsed before another takes it
    Given nodes a and b that keep one lease
    When node a acquires and is paused for 60 s while node b polls
    Then node a stopped holding before node b began
    And node b holds number 2
    And node a, resumed in the middle of a renewal, does not hold the lease

  Scenario: A node whose read was slow counts the holder's time from after the read
    Given nodes a and b that keep one lease
    When node a renews at 2.8 s, within a read of node b that takes 2.9 s, and then stops
    Then node a stopped holding before node b began

  Scenario: A holder that renews is never overtaken by a node that polls
    Given nodes a and b that keep one lease
    When node a renews for 100 s while node b polls
    Then node b never held the lease

  Scenario: A released lease is taken at once under the next number
    Given nodes a and b that keep one lease
    When node a acquires and releases, and node b acquires
    Then node b holds number 2

  Scenario: A lease row restored from an old copy never brings a number back
    Given nodes a and b that keep one lease
    When the lease goes round to number 4, the row is restored to number 1 and node b acquires
    Then node b holds a number past 4

  Scenario: The controller runs its tasks under the lease and stops a task when the lease lapses
    Given a controller with a task that never ends
    When the store goes down for good
    Then the task is cancelled before another node could hold the lease
    And no task starts after that

  Scenario: A controller that stops releases its lease, and the next one goes on under a higher number
    Given a controller with a task that ends
    When it is stopped and another node acquires
    Then the task ran under number 1 and the other node holds number 2
