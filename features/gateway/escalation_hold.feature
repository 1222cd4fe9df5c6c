Feature: Escalations with time to spare leave the largest model to urgent requests

  Scenario Outline: An escalation is held while queues are long, more urgent requests have a shorter goal, and half of its goal is left: <case>
    Given a request with a goal of 6 s that has waited for <elapsed> s
    When the mean queue takes <wait> s and the most urgent route has a goal of <urgent>
    Then its escalation is <decision>

    Examples:
      | case                | elapsed | wait | urgent | decision |
      | long queues         | 0.5     | 0.6  | 2      | held     |
      | short queues        | 0.5     | 0.3  | 2      | sent     |
      | held for long       | 3.0     | 5.0  | 2      | sent     |
      | no urgent route     | 0.5     | 5.0  | none   | sent     |

  Scenario: A burst of long prompts makes fewer urgent ones late
    Given 17 upstreams that read one prompt after the other
    When long prompts take 1.1 of their capacity for 6 s, beside urgent ones with a goal of 2 s
    Then at least 5 in 100 more urgent ones are in time than without holding
    And no long prompt is held for more than half of its goal of 6 s
