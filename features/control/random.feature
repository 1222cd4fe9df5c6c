Feature: Long randomised runs of what rests on the platform's service

  Scenario: Nodes that publish, follow, hold a lease and bill under random faults break no invariant
    When 3 nodes do random things at once while the store fails at random
    Then no run broke an invariant
    And the runs covered every action and every fault
