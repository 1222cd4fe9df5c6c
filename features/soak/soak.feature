Feature: Simulations break no invariant, unless a mechanism is removed

  Scenario Outline: All mechanisms in place, seed <seed>
    When a simulation runs with seed <seed> and 20000 steps
    Then no invariant is broken
    And at least 900 requests were answered
    And each kind of fault was injected

    Examples:
      | seed |
      | 11   |
      | 17   |
      | 23   |
      | 42   |
      | 170  |

  Scenario Outline: All mechanisms in place, seed <seed>, many broken streams and long delays
    When a simulation with many broken streams runs with seed <seed> and 20000 steps
    Then no invariant is broken

    Examples:
      | seed |
      | 3    |
      | 29   |

  Scenario: The same seed gives the same simulation
    When a simulation runs with seed 5 and 6000 steps
    And it runs again
    Then both reports are equal

  Scenario Outline: Without <mechanism> an invariant is broken
    Given simulations without <mechanism>
    When simulations of 20000 steps with many broken streams run with 12 seeds from <first> on
    Then an invariant is broken with a message that contains "<message>"

    Examples:
      | mechanism                             | first | message                 |
      | the checks of withdrawn versions      | 0     | is withdrawn            |
      | the checks of failure domains         | 0     | is out                  |
      | the checks of allowed versions        | 0     | is not allowed          |
      | the session's pinned version          | 0     | left delta/small@       |
      | the combination of attempts' outcomes | 0     | was told as not run     |
      | the checks of received answers        | 0     | answer                  |
      | the quarantine                        | 0     | crashed 5 upstreams     |
      | the refusal of banned requests        | 0     | is banned and waits     |
      | the warm-up limit                     | 0     | with a limit of         |
      | the bills that agents offer           | 0     | answered and not billed |
      | the cancellation of bills             | 0     | billed and not answered |
      | the refusal of cancelled attempts     | 0     | billed and not answered |
      | the deadlines of requests             | 0     | requests without an end |
