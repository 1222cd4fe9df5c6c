Feature: Long randomised runs of the components that depend on the platform's store

  Scenario: Nodes that publish, follow the configuration, hold a lease and bill under random faults violate no invariant
    When 3 nodes perform random actions concurrently while the store fails at random
    Then no run violated an invariant
    And the runs covered every action and every fault
