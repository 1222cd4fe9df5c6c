Feature: A cascade meets the quality target at least cost, even without trusted ratings

  Scenario Outline: The quality policy starts at the cheapest step that meets the target, the baselines at a fixed one
    Given estimates <estimates> and prices <prices>
    Then the policy "<policy>" starts at step <start> when answers <rated>

    Examples:
      | policy    | estimates        | prices   | rated         | start |
      | quality   | 0.97, 0.98, 0.99 | 1, 4, 16 | are not rated | 0     |
      | quality   | 0.60, 0.97, 0.99 | 1, 4, 16 | are not rated | 1     |
      | quality   | 0.60, 0.70, 0.80 | 1, 4, 16 | are not rated | 2     |
      | quality   | 0.60, 0.90, 0.98 | 1, 4, 16 | are rated     | 0     |
      | quality   | 0.05, 0.90, 0.98 | 3, 4, 16 | are rated     | 1     |
      | costliest | 0.97, 0.98, 0.99 | 1, 4, 16 | are rated     | 2     |
      | cheapest  | 0.10, 0.98, 0.99 | 1, 4, 16 | are rated     | 0     |

  Scenario Outline: A poor answer is escalated if time and budget allow
    Given an answer with rating <score> from a model with a lower bound of <lower>
    When <seconds> s are left for a step of 2 s and a budget of <budget> for a step of price 4
    Then it is <outcome>

    Examples:
      | score | lower | seconds | budget | outcome            |
      | 0.9   | 0.1   | 10      | 10     | sent to the caller |
      | 0.7   | 0.99  | 10      | 10     | escalated          |
      | 0.7   | 0.99  | 1       | 10     | sent to the caller |
      | 0.7   | 0.99  | 10      | 3      | sent to the caller |
      | none  | 0.5   | 10      | 10     | escalated          |
      | none  | 0.97  | 10      | 10     | sent to the caller |

  Scenario: Ratings raise an estimate, and it returns to the prior when they stop
    Given a cheap model with prior 0.80 and a costly one with prior 0.92 at target 0.8
    When the cheap model's answers are rated 0.9 for 200 requests
    Then a plain request starts at the cheap model
    And a stream starts at the cheap model
    When no rating is received for 12 hours
    Then a plain request starts at the costly model
    And a stream starts at the costly model

  Scenario: Errors lower an estimate without any rating
    Given a cheap model with prior 0.95 and a costly one with prior 0.96 at target 0.8
    Then a stream starts at the cheap model
    When the cheap model fails 10 times
    Then a stream starts at the costly model

  Scenario Outline: A rating service that rates everything alike is no longer trusted
    Given a cheap model with prior 0.70 and a costly one with prior 0.92 at target 0.8
    When the rating service rates correctly for 200 requests
    And then rates everything <score> for 200 requests
    Then at most <n> poor answers of the cheap model were sent to the caller since then
    And a plain request starts at the costly model

    Examples:
      | score | n  |
      | 0.95  | 70 |
      | 0.81  | 70 |
      | 0.05  | 0  |

  Scenario: False ratings of a single version don't raise its estimate above the bound
    Given a cheap model with prior 0.65 and a costly one with prior 0.92 at target 0.8
    When the cheap model's answers are rated 1.0 for 500 requests
    Then a stream starts at the costly model

  Scenario: Old ratings weigh less than new ones
    Given a cheap model with prior 0.80 and a costly one with prior 0.92 at target 0.8
    When the cheap model's answers are rated 0.9 for 2000 requests
    And no rating is received for 12 hours
    And the cheap model's answers are rated 0.5 for 30 requests
    Then a stream starts at the costly model
    When the cheap model's answers are rated 0.9 for 3000 requests
    Then a stream starts at the cheap model

  Scenario: Missing ratings are detected after a few answers
    Given a cheap model with prior 0.80 and a costly one with prior 0.92 at target 0.8
    When the cheap model's answers are rated 0.9 for 200 requests
    And 4 ratings are missing
    Then a plain request starts at the cheap model
    When 1 ratings are missing
    Then a plain request starts at the costly model
    When the cheap model's answers are rated 0.9 for 1 requests
    Then a plain request starts at the cheap model
