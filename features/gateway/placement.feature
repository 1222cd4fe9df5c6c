Feature: Prompts are placed by cached prefix, queue and learned speed, without a network

  Scenario: A prefix that no upstream has cached goes to the same upstream from every gateway
    Given 24 gateways before 12 idle upstreams of equal speed
    When each gateway places a prompt with the same prefix of 13000 tokens
    Then all of them choose the same upstream

  Scenario: A cached prefix at an upstream with a growing queue spreads before callers wait longer than reading takes
    Given 1 gateway before 12 idle upstreams of equal speed
    When 80 prompts with the same prefix of 13000 tokens arrive within 3 s
    Then the first ones are placed on one upstream and later ones on at least one more
    And none waits longer than reading the prefix elsewhere takes

  Scenario: Without the setting for cached prefixes a prompt goes to the shortest queue
    Given 1 gateway before 12 idle upstreams of equal speed, with prefix caching left out of account
    When 80 prompts with the same prefix of 13000 tokens arrive within 3 s
    Then they are placed on at least 6 upstreams

  Scenario: A restarted upstream isn't expected to have its prefixes cached
    Given 1 gateway before 12 idle upstreams of equal speed
    When 3 prompts with the same prefix of 13000 tokens arrive within 2 s
    And the upstream that has the prefix cached starts again under its id
    Then no prefix is expected there, and its speed counts as unknown

  Scenario: Uneven upstreams get work in proportion to their speed
    Given 24 gateways before 24 upstreams, of which one in three is 2.4 times faster
    When 30 prompts per second of 9000 tokens arrive for 30 s, with reports of queues 0.8 s old
    Then fast upstreams get at least 1.6 times the prompts of slow ones
    And 95 in 100 first events come sooner than if all speeds counted as equal

  Scenario: Gateways with old reports of queues don't all choose the same upstream
    Given 24 gateways before 24 upstreams, of which one in three is 2.4 times faster
    When 30 prompts per second of 9000 tokens arrive for 30 s, with reports of queues 2.0 s old
    Then 95 in 100 first events come sooner than if each gateway chose the shortest reported queue
    And the busiest upstream of a second gets fewer prompts, in the mean

  Scenario Outline: A change of an upstream's speed is noticed within seconds
    Given an upstream that answers at <before> times the usual speed 4 times per second for 60 s
    When it answers at <after> times the usual speed for <span> s
    Then its learned speed is between <low> and <high>

    Examples:
      | before | after | span | low | high |
      | 1.7    | 1.7   | 1    | 1.3 | 1.8  |
      | 1.0    | 0.4   | 20   | 0.3 | 0.7  |
      | 1.7    | 0.7   | 25   | 0.5 | 1.1  |
      | 1.0    | 100   | 60   | 2.0 | 3.0  |

  Scenario: Speeds are shared, forgotten with the run of the upstream, and bounded
    Given a gateway that has learned that an upstream is 2 times faster, from 20 answers
    When it reports this to another gateway
    Then the other one expects a speed between 1.6 and 2.0
    And a report of a speed that isn't a number changes nothing
    And both have forgotten it once the upstream has another run

  # Gateways hear of each other's prompts late, so that short prompts are placed behind long ones.
  Scenario Outline: Short prompts don't wait behind long ones: <n> gateways
    Given <n> gateways before <upstreams> upstreams that read short and long prompts
    When for 40 s a fifth of the prompts are long, at 60 in 100 of the capacity, with reports of queues 0.8 s old
    Then 95 in 100 short prompts have their first event in half of the time that it takes without the split
    And 95 in 100 long ones in at most 1.3 times that time

    Examples:
      | n  | upstreams |
      | 6  | 9         |
      | 29 | 27        |
