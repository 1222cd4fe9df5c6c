Feature: The model of an engine batches, caches, warms up and falls over

  Scenario Outline: A cold engine bears light load and falls over under full load
    Given an engine that is <state>
    When <n> requests arrive at once
    Then <lost> of them are lost and the boot id <boot>

    Examples:
      | state | n  | lost | boot    |
      | cold  | 4  | 0    | stays   |
      | cold  | 16 | 16   | changes |
      | warm  | 16 | 0    | stays   |

  Scenario: An engine that turned cold again bears light load only
    Given an engine that is warm
    When it turns cold again
    And 16 requests arrive at once
    Then 16 of them are lost and the boot id changes

  Scenario: A batch shares the token rate
    Given an engine that is warm
    Then 8 requests together take between 1.0 and 8.0 times as long as one

  Scenario: The prefix cache is bounded and drops what was used least recently
    Given an engine that is warm
    When 500 different prompts of 100 tokens run
    Then the cache holds at most 20000 tokens
    And the newest prompt is found in the cache
    And the oldest prompt is not found in the cache

  Scenario: Urgent requests pass those that wait
    Given an engine that is warm
    When 16 requests arrive at once
    And a batch request and then an urgent request arrive
    Then the urgent request ends first

  Scenario: Steps may be taken in any portions
    Given an engine that is warm
    Then requests end at the same times whatever the portions of time

  Scenario: A prompt that crashes engines loses all that runs
    Given an engine that is warm
    When the text "poison" crashes it
    And 3 requests arrive at once
    And a request with the text "poison" arrives
    Then 4 of them are lost and the boot id changes
