Feature: A gateway keeps up with the store's tables, whatever their size and whatever cuts it off

  Scenario: A configuration that takes 2 s to transfer is put in force after a failed call
    Given a gateway with two upstreams
    When the store is busy, then has a configuration whose transfer takes 2 s
    Then the configuration is in force within 5 s

  Scenario: Changes that follow each other faster than they are transferred don't delay the last one
    Given a gateway with two upstreams
    When 12 configurations whose transfer takes 1 s each are written in 3 s
    Then the configuration is in force within 5 s

  Scenario: An answer of the store that stops within its body is given up within 3 s
    Given a gateway with two upstreams
    When an answer of the store stops within its body and a configuration is written
    Then the configuration is in force within 5 s

  Scenario: A restarted gateway copies tables whose transfer takes 3 s from another gateway
    Given a gateway with two upstreams
    When a second gateway starts without the store and copies tables whose transfer takes 3 s
    Then the second gateway is ready

  Scenario Outline: A gateway that the store turns away gets the changes from another one: <change>
    Given a gateway with two upstreams
    When <change> is written while the store turns the second gateway away
    Then the second gateway knows it within 3 s

    Examples:
      | change                       |
      | a newer configuration        |
      | a revoked key                |
      | an evacuation                |
      | the draining of an upstream  |
      | the removal of an upstream   |
      | the restart of an upstream   |
      | a new upstream               |

  Scenario: An upstream that leaves in a store outage gets no request once the bounds hold again
    Given 40 gateways without peers that follow the upstreams' table
    When the store is silent for 8 s and an upstream leaves meanwhile
    Then no gateway sends it a request later than 3 s after the store's return

  Scenario: Upstreams whose entries expire in a store outage are retained until they are back
    Given 40 gateways without peers that follow the upstreams' table
    When the store is silent for 8 s and the entry of a running upstream expires meanwhile
    Then no gateway drops it if its entry is back 1.2 s after the store's return

  Scenario Outline: A gateway that may be behind refuses for a while what its tables don't allow
    Given a gateway with two upstreams
    When the store falls silent and a caller sends <request>
    Then the answers are 503 with Retry-After, and <status> once the store answers again

    Examples:
      | request                       | status |
      | an unknown path               | 404    |
      | an unknown API key            | 401    |

  Scenario: A gateway that stays behind another one is not ready
    Given a gateway with two upstreams
    When a peer has a later configuration that the gateway can't get
    Then the gateway is not ready within 5 s, and ready again once it has the configuration

  Scenario: A table whose calls fail isn't hidden by another table's answers
    Given a store that answers for table "servers" and fails for table "op"
    Then the store counts as failing, and one failure and one recovery of "op" are reported
