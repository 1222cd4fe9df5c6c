Feature: A customer's quota

  Scenario Outline: A token bucket admits a burst and then its rate
    Given a quota of <rate> a second, a burst of <burst> and <in_flight> under way at most
    When <n> requests arrive at once
    Then <admitted> are admitted and the last is told to come back after <retry> s

    Examples:
      | rate | burst | in_flight | n  | admitted | retry |
      | 10   | 5     | 100       | 5  | 5        | none  |
      | 10   | 5     | 100       | 6  | 5        | 0.1   |
      | 0.5  | 1     | 100       | 2  | 1        | 2     |
      | 0    | 1     | 100       | 2  | 1        | 60    |
      | 10   | 50    | 3         | 10 | 3        | 1     |

  Scenario: A refused caller that comes back when told is admitted
    Given a quota of 10 a second, a burst of 1 and 100 under way at most
    When 2 requests arrive at once
    And a request comes back when told
    Then that request is admitted

  Scenario: A clock that stands still or goes back hands out no tokens
    Given a quota of 10 a second, a burst of 1 and 100 under way at most
    When 1 requests arrive at once
    And the time goes back by 60 s
    Then the next request is refused
