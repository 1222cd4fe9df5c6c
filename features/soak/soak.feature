Feature: Randomised runs break no promise, and do where a mechanism is missing

  Scenario Outline: Every mechanism in place, seed <seed>
    When a randomised run has seed <seed> and 20000 steps
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

  Scenario Outline: Every mechanism in place, seed <seed>, many cuts and long delays
    When a randomised run with many cuts has seed <seed> and 20000 steps
    Then no invariant is broken

    Examples:
      | seed |
      | 3    |
      | 29   |

  Scenario: The same seed gives the same run
    When a randomised run has seed 5 and 6000 steps
    And it is run again
    Then both runs report the same

  Scenario Outline: Without <mechanism> a promise is broken
    Given a world without <mechanism>
    When randomised runs of 20000 steps with many cuts have 12 seeds from <first> on
    Then an invariant is broken that says "<message>"

    Examples:
      | mechanism                             | first | message                 |
      | the checks of withdrawn versions      | 0     | is withdrawn            |
      | the checks of failure domains         | 0     | is out                  |
      | the checks of allowed versions        | 0     | is not allowed          |
      | the session's pin                     | 0     | left delta/small@       |
      | the combination of attempts' outcomes | 0     | was told as not run     |
      | the check of answers                  | 0     | answer                  |
      | the quarantine                        | 0     | crashed 5 upstreams     |
      | the refusal of banned requests        | 0     | is banned and waits     |
      | the warm-up limit                     | 0     | with a limit of         |
      | the agents' bills                     | 0     | answered and not billed |
      | the cancellation of bills             | 0     | billed and not answered |
      | the memory of cancelled attempts      | 0     | billed and not answered |
      | the deadlines of requests             | 0     | requests without an end |
