Feature: An agent keeps to the rate of requests that its upstream names

  Scenario Outline: Attempts beyond the limit are refused as not run, with the time to return
    Given an agent whose upstream names the limit <rate> in its answers
    When <per_s> attempts per second come for 8 s
    Then at most <most> of them are sent in any 4 s
    And all others are refused as UPSTREAM_FULL, not_run, and told when the upstream takes one

    Examples:
      | rate | per_s | most |
      | 1    | 10    | 5    |
      | 2.5  | 10    | 11   |
      | 20   | 10    | 40   |

  Scenario: An answer without a limit ends it
    Given an agent whose upstream names the limit 1 in its answers
    When 10 attempts per second come for 2 s, and the upstream's next answer names no limit
    Then all attempts after it are sent

  Scenario Outline: The limit is read from an answer's header, whatever its status: <kind> <status> <value>
    Given an upstream of kind <kind> whose answer has status <status> and names the limit <value>
    When an attempt reaches it
    Then the agent knows the limit <limit>

    Examples:
      | kind   | status | value | limit |
      | plain  | 200    | 1.5   | 1.5   |
      | plain  | 502    | 1.5   | 1.5   |
      | engine | 503    | 2     | 2.0   |
      | engine | 503    | 0     | 0.1   |
      | plain  | 200    | soon  | None  |
      | plain  | 200    | inf   | None  |

  Scenario: An entry sends no attempt to an upstream that its agent reports as limited
    Given an entry and a report that an upstream takes the next attempt in 0.8 s
    Then the entry considers the upstream full for 0.8 s and not after
