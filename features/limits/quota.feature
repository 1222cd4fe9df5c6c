Feature: A customer's quota limits its rate and its requests in progress

  Scenario Outline: A token bucket admits a burst and then its rate
    Given a quota of <rate> per second, a burst of <burst> and at most <in_flight> in progress
    When <n> requests arrive at once
    Then <admitted> are admitted and the last may retry after <retry> s

    Examples:
      | rate | burst | in_flight | n  | admitted | retry |
      | 10   | 5     | 100       | 5  | 5        | none  |
      | 10   | 5     | 100       | 6  | 5        | 0.1   |
      | 0.5  | 1     | 100       | 2  | 1        | 2     |
      | 0    | 1     | 100       | 2  | 1        | 60    |
      | 10   | 50    | 3         | 10 | 3        | 1     |

  Scenario: A refused caller that retries after the given time is admitted
    Given a quota of 10 per second, a burst of 1 and at most 100 in progress
    When 2 requests arrive at once
    And a request is retried after the given time
    Then that request is admitted

  Scenario: A clock that stops or jumps back adds no tokens
    Given a quota of 10 per second, a burst of 1 and at most 100 in progress
    When 1 requests arrive at once
    And a request arrives while the clock is 60 s behind
    Then the next request is refused
