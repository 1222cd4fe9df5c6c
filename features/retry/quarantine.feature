Feature: Requests that repeatedly crash upstreams are banned

  Scenario: The second crash bans a digest
    When digest "x" crashes upstream "u0" with incident "b1"
    Then digest "x" is a suspect
    When digest "x" crashes upstream "u1" with incident "b7"
    Then digest "x" is banned

  Scenario Outline: Crashes are counted once per upstream and incident
    When digest "x" crashes upstream "u0" with incident "b1"
    And digest "x" crashes upstream "<upstream>" with incident "<incident>"
    Then digest "x" is <state>

    Examples:
      | upstream | incident | state     |
      | u0       | b1       | a suspect |
      | u0       | b2       | banned    |
      | u1       | b1       | banned    |

  Scenario: A suspect runs on one upstream at a time and never shares it with another suspect
    Given upstreams "u0 u1 u2"
    And digests "x y" were both running when upstream "u0" crashed
    When digest "x" starts on "u1"
    Then digest "x" may run on ""
    And digest "y" may run on "u0 u2"
    And digest "z" may run on "u0 u1 u2"

  Scenario: A suspect whose other attempt still runs isn't retried
    Given upstreams "u0 u1 u2"
    When digest "x" starts on "u0"
    And digest "x" starts on "u1"
    And digest "x" ends on "u0" by a crash
    Then digest "x" may run on ""
    And starting "x" on "u2" violates an invariant

  Scenario: An end that is recorded twice, once without its upstream, ends one attempt
    Given upstreams "u0 u1 u2"
    When digest "x" starts on "u0"
    And digest "x" starts on "u1"
    And digest "x" ends on "u0" by a failure that is recorded twice
    And digest "x" crashes upstream "u2" with incident "b1"
    Then digest "x" may run on ""

  Scenario: A suspect that didn't cause the crash is cleared by its next success, a banned one never
    Given upstreams "u0 u1 u2"
    And digests "x y" were both running when upstream "u0" crashed
    When digest "y" starts on "u1"
    And digest "y" ends on "u1" with success
    Then digest "y" is unknown
    When digest "x" starts on "u2"
    And digest "x" ends on "u2" by a crash
    Then digest "x" is banned
    And digest "x" may run on ""

  Scenario Outline: Crashes reported by other entries are merged
    When digest "x" crashes upstream "u0" with incident "b1"
    And a notice reports <n> crashes of "x" on "<upstreams>"
    Then digest "x" is <state>

    Examples:
      | n | upstreams | state     |
      | 1 | u0#b1     | a suspect |
      | 1 | u1#b1     | banned    |
      | 2 | u1#b1     | banned    |

  Scenario Outline: The table is bounded in rows and age
    Given a quarantine of at most <rows> rows and <age> s
    When <n> digests crash an upstream, one per second
    Then the <left> newest rows remain

    Examples:
      | rows | age  | n  | left |
      | 10   | 1000 | 50 | 10   |
      | 100  | 20   | 50 | 21   |

  Scenario: A crashing request that is sent repeatedly crashes only two upstreams
    Given upstreams "u0 u1 u2 u3 u4 u5"
    When a request that crashes every upstream is sent 100 times
    Then 2 upstreams have crashed

  Scenario Outline: Only a slow lookup that is no suspect and has one running attempt is hedged
    Given a <kind> request that started <ago> s ago, hedged after <after> s, with <recorded> latencies up to 1 s recorded
    When the digest is <state> and <running> attempts run
    Then it is <outcome>

    Examples:
      | kind   | ago  | after | recorded | state     | running | outcome    |
      | lookup | 0.3  | 0.2   | 0        | unknown   | 1       | hedged     |
      | lookup | 0.1  | 0.2   | 0        | unknown   | 1       | not hedged |
      | lookup | 0.3  | 0.2   | 100      | unknown   | 1       | not hedged |
      | lookup | 0.97 | 0     | 100      | unknown   | 1       | hedged     |
      | lookup | 0.9  | 0     | 100      | unknown   | 1       | not hedged |
      | lookup | 5    | 0     | 0        | unknown   | 1       | not hedged |
      | lookup | 0.3  | 0.2   | 0        | a suspect | 1       | not hedged |
      | lookup | 0.3  | 0.2   | 0        | unknown   | 2       | not hedged |
      | answer | 0.3  | 0.2   | 0        | unknown   | 1       | not hedged |
      | order  | 0.3  | 0.2   | 0        | unknown   | 1       | not hedged |

  Scenario: Hedges share the budget of retries
    Given a lookup request that started 0.3 s ago, hedged after 0.2 s, with 0 latencies up to 1 s recorded
    When its member has no budget left
    Then it is not hedged
