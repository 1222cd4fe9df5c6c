Feature: A lease has one holder at a time and a number that rises with each holder

  Scenario Outline: <step> during a fault of the store reports correctly whether the lease is held: <fault>
    Given nodes a and b that compete for one lease
    And node a is about to <step> the lease
    When the fault "<fault>" is injected into the store during that call
    Then the outcome is "<result>"
    And after the fault node a holds the lease under number 1

    Examples:
      | step    | fault             | result             |
      | acquire | none              | holds it           |
      | acquire | answer lost       | holds it           |
      | acquire | request lost      | holds it           |
      | acquire | all answers lost  | has an error       |
      | acquire | all requests lost | has an error       |
      | acquire | store slow        | holds it           |
      | acquire | store too slow    | has an error       |
      | acquire | store down        | has an error       |
      | renew   | none              | holds it           |
      | renew   | answer lost       | holds it           |
      | renew   | request lost      | holds it           |
      | renew   | all answers lost  | keeps its deadline |
      | renew   | all requests lost | keeps its deadline |
      | renew   | store slow        | holds it           |
      | renew   | store too slow    | keeps its deadline |
      | renew   | store down        | keeps its deadline |

  Scenario: Of two nodes that acquire concurrently exactly one holds the lease
    Given nodes a and b that compete for one lease
    When both acquire the lease concurrently
    Then exactly one holds the lease under number 1

  Scenario: A paused holder knows that its lease has lapsed before another node acquires it
    Given nodes a and b that compete for one lease
    When node a acquires the lease and is paused for 60 s while node b polls
    Then node a stopped holding the lease before node b began to
    And node b holds the lease under number 2
    And node a, resumed in the middle of a renewal, does not hold the lease

  Scenario: A node whose read was slow measures the lease's lifetime from after the read
    Given nodes a and b that compete for one lease
    When node a renews at 2.8 s, within a read of node b that takes 2.9 s, and then stops
    Then node a stopped holding the lease before node b began to

  Scenario: A holder that renews in time never loses the lease to a node that polls
    Given nodes a and b that compete for one lease
    When node a renews for 100 s while node b polls
    Then node b never held the lease

  Scenario: A released lease can be acquired at once under the next number
    Given nodes a and b that compete for one lease
    When node a acquires and releases the lease, and node b acquires it
    Then node b holds the lease under number 2

  Scenario: A lease row restored from an old copy never causes a number to be reused
    Given nodes a and b that compete for one lease
    When the nodes take turns up to number 4, the row is restored to number 1 and node b acquires
    Then node b holds the lease under a number above 4

  Scenario: The controller runs its tasks under the lease and stops a task when the lease lapses
    Given a controller with a task that never ends
    When the store goes down permanently
    Then the task is cancelled before another node could hold the lease
    And no task starts after that

  Scenario: A controller that stops releases its lease, and the next one continues under a higher number
    Given a controller with a task that ends
    When the controller is stopped and another node acquires the lease
    Then the task ran under number 1 and the other node holds the lease under number 2
