Feature: A new or cold upstream gets no more requests than its capacity

  Scenario: The limit rises from the cold to the warm limit while service stays good
    Given a limiter from 2 to 16 in front of an engine with a cold capacity of 4 that warms up in 20 s
    When 2000 requests wait for 60 seconds
    Then the engine was never overloaded and the limit reached 16

  Scenario: Without the ramp-up the same engine is overloaded and crashes
    Given a limiter from 16 to 16 in front of an engine with a cold capacity of 4 that warms up in 20 s
    When 2000 requests wait for 60 seconds
    Then the engine crashed

  Scenario: The engine restarts under full load
    Given a limiter from 2 to 16 in front of an engine with a cold capacity of 4 that warms up in 20 s
    When 2000 requests wait for 60 seconds
    And the engine restarts and 2000 requests wait for 60 seconds
    Then the engine was never overloaded and the limit reached 16

  Scenario Outline: After <event> the limit is <limit>
    Given a warm limiter from 2 to 16
    When the limiter handles <event>
    Then the limit is <limit>

    Examples:
      | event                                      | limit |
      | a new run of the engine                    | 2     |
      | a cold state                               | 2     |
      | a refused connection                       | 2     |
      | a sudden slow-down                         | 2     |
      | a failure                                  | 11    |
      | two failures in one round                  | 11    |
      | one slow request among fast ones           | 16    |
      | short answers to long prompts              | 16    |
      | a failure of a request from before a reset | 16    |
      | good service in a cold state               | 2     |
      | an unchanged health report                 | 16    |
      | narrower bounds                            | 4     |

  Scenario Outline: The first health report after a restart of the agent alone: <health>
    Given a new limiter from 2 to 16
    When the first health report gives <health>
    Then the limit is <limit>

    Examples:
      | health               | limit |
      | warm                 | 16    |
      | warm for 5 seconds   | 2     |
      | warm for 100 seconds | 16    |
      | cold                 | 2     |
      | no state             | 2     |

  Scenario: No order of events starts a request above the limit
    When a limiter handles 200 random sequences of events
    Then no start was above the limit
