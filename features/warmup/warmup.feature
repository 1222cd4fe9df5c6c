Feature: A fresh or cold upstream gets no more load than it bears

  Scenario: The limit rises from the cold to the warm limit while service stays good
    Given a limiter from 2 to 16 before an engine that bears 4 and is cold for 20 s
    When 2000 requests wait for 60 seconds
    Then the engine never had more than it bears and the limit reached 16

  Scenario: Without the ramp the same engine falls over
    Given a limiter from 16 to 16 before an engine that bears 4 and is cold for 20 s
    When 2000 requests wait for 60 seconds
    Then the engine fell over

  Scenario: The engine restarts under full load
    Given a limiter from 2 to 16 before an engine that bears 4 and is cold for 20 s
    When 2000 requests wait for 60 seconds
    And the engine restarts and 2000 requests wait for 60 seconds
    Then the engine never had more than it bears and the limit reached 16

  Scenario Outline: <event> leaves the limit at <limit>
    Given a warm limiter from 2 to 16
    When <event> is noted
    Then the limit is <limit>

    Examples:
      | event                          | limit |
      | a new run of the engine        | 2     |
      | a cold state                   | 2     |
      | a refused connection           | 2     |
      | a sudden slow-down             | 2     |
      | a failure                      | 11    |
      | two failures in one round      | 11    |
      | one odd request                | 16    |
      | short answers to long prompts  | 16    |
      | a failure of an old run        | 16    |
      | good service in a cold state   | 2     |
      | an unchanged health report     | 16    |
      | narrower bounds                | 4     |

  Scenario Outline: A restart of the agent alone, <health>
    Given a fresh limiter from 2 to 16
    When the first health report tells <health>
    Then the limit is <limit>

    Examples:
      | health                   | limit |
      | warm                     | 16    |
      | warm for 5 seconds       | 2     |
      | warm for 100 seconds     | 16    |
      | cold                     | 2     |
      | no state                 | 2     |

  Scenario: No order of events starts a request above the limit
    When 200 random sequences of events befall a limiter
    Then no start was above the limit
