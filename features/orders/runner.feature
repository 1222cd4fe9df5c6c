Feature: An entry runs an order with its store and its agents

  Scenario Outline: <fault>
    When an order is run and <fault>
    Then the caller gets <outcome> after at most <seconds> seconds
    And the agents received <calls>

    Examples:
      | fault                                       | outcome         | seconds | calls                             |
      | nothing fails                               | answered        | 0       | run                               |
      | the stream is interrupted after one frame   | answered        | 0       | run fence resume:1                |
      | the final event has a wrong digest          | answered        | 0       | run fence resume:0                |
      | the first agent refuses to connect          | answered        | 0       | run run                           |
      | the agent replies that it did not start it  | answered        | 0       | run fence run                     |
      | the agent does not answer                   | outcome_unknown | 20      | run                               |
      | the agent is disconnected                   | outcome_unknown | 4       | run fence fence fence fence fence |
      | the store does not answer                   | platform_down   | 2       | nothing                           |
      | the store fails when the outcome is written | answered        | 0       | run                               |

  Scenario: Claims that the store did not accept are written once it is available again
    Given a claim settler with 3 queued claims and a store that is down
    When the store recovers and the claim settler runs
    Then the 3 claims are written and a stored claim with more attempts stays unchanged

  Scenario Outline: A controller's order to an engine with number <number> after <seen> is <result>
    Given an order fence that has learned <seen>
    When a controller's order with number <number> arrives
    Then the result of the fence's check is <result>

    Examples:
      | seen    | number | result      |
      | 7       | 7      | passed      |
      | 7       | 8      | passed      |
      | 7       | 6      | stale_fence |
      | 7 8 7   | 7      | stale_fence |
      | nothing | 9      | stale_fence |
