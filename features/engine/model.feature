Feature: Simulation of an engine: batching, prefix cache, warm-up and crashes

  Scenario Outline: A cold engine handles light load and crashes under full load
    Given an engine that is <state>
    When <n> requests arrive at once
    Then <lost> of them are lost and the boot id <boot>

    Examples:
      | state | n  | lost | boot    |
      | cold  | 4  | 0    | stays   |
      | cold  | 16 | 16   | changes |
      | warm  | 16 | 0    | stays   |

  Scenario: An engine that is reset to cold handles light load only
    Given an engine that is warm
    When it is reset to cold
    And 16 requests arrive at once
    Then 16 of them are lost and the boot id changes

  Scenario: The requests of a batch share the token rate
    Given an engine that is warm
    Then 8 requests together take between 1.0 and 8.0 times as long as one

  Scenario: The prefix cache is bounded and evicts the least recently used prompts
    Given an engine that is warm
    When 500 different prompts of 100 tokens run
    Then the cache holds at most 20000 tokens
    And the newest prompt is found in the cache
    And the oldest prompt is not found in the cache

  Scenario: Urgent requests overtake queued requests
    Given an engine that is warm
    When 16 requests arrive at once
    And a batch-priority request and then an urgent request arrive
    Then the urgent request finishes first

  Scenario: Finish times do not depend on the time steps of the simulation
    Given an engine that is warm
    Then requests finish at the same times for any time steps

  Scenario: A prompt that crashes the engine makes it lose all running requests
    Given an engine that is warm
    When the text "poison" is set to crash it
    And 3 requests arrive at once
    And a request with the text "poison" arrives
    Then 4 of them are lost and the boot id changes
