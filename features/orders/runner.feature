Feature: An entry carries an order out over its store and its agents

  Scenario Outline: <fault>
    When an order is carried out and <fault>
    Then the caller is told <told> after at most <seconds> seconds
    And the agents saw <calls>

    Examples:
      | fault                              | told            | seconds | calls                   |
      | nothing fails                      | answered        | 0       | run                     |
      | the stream is cut after one frame  | answered        | 0       | run fence resume:1      |
      | the final carries a wrong digest   | answered        | 0       | run fence resume:0      |
      | the first agent refuses to connect | answered        | 0       | run run                 |
      | the agent says it did not start it | answered        | 0       | run fence run           |
      | the agent does not answer          | outcome_unknown | 20      | run                     |
      | the agent is cut off               | outcome_unknown | 4       | run fence fence fence fence fence |
      | the store does not answer          | platform_down   | 2       | nothing                 |
      | the store fails at the end         | answered        | 0       | run                     |

  Scenario: Claims that the store did not take are written once it answers
    Given a settler that holds 3 claims over a store that is down
    When the store comes back and the settler runs
    Then the 3 claims are written and a claim known better is left as it is

  Scenario Outline: An order to an engine with number <number> after <seen> is <result>
    Given a fence that has learned <seen>
    When an order with number <number> comes
    Then the fence's answer is <result>

    Examples:
      | seen    | number | result      |
      | 7       | 7      | passed      |
      | 7       | 8      | passed      |
      | 7       | 6      | stale_fence |
      | 7 8 7   | 7      | stale_fence |
      | nothing | 9      | stale_fence |
