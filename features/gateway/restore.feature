Feature: A gateway never goes back when the store is restored from a backup

  Scenario Outline: What the store has lost stays in force: <change>
    Given a gateway with two upstreams
    When <change> is lost by a restore of the store
    Then <change> is still in force once the gateway has read the restored tables

    Examples:
      | change                       |
      | a newer configuration        |
      | a revoked key                |
      | an evacuation                |
      | the draining of an upstream  |
      | the removal of an upstream   |
      | the restart of an upstream   |
      | a new upstream               |

  Scenario Outline: What is written again after a restore is taken: <change>
    Given a gateway with two upstreams
    When <change> is lost by a restore of the store and then undone
    Then <change> is no longer in force within 2 s

    Examples:
      | change                      |
      | an evacuation               |
      | the draining of an upstream |
      | the removal of an upstream  |

  Scenario Outline: Versions that are assigned a second time are not taken for the first ones
    Given a gateway with two upstreams
    When the store is restored and <n> rows are written before the gateway calls it again
    Then the gateway has the configuration that was written last

    Examples:
      | n  |
      | 1  |
      | 3  |
      | 20 |

  Scenario: A configuration that is written again with another content replaces the lost one
    Given a gateway with two upstreams
    When a configuration is lost by a restore and written again with its version and another content
    Then the gateway has the configuration that was written last

  Scenario: A new upstream that is not written again is dropped after the time for it has passed
    Given a gateway with two upstreams
    When a new upstream is lost by a restore of the store
    Then the new upstream is dropped between 1 s and 4 s after the restore

  Scenario: An evacuation that is not written again ends after the time for it has passed
    Given a follower of the operators' table with an evacuated domain
    When the store is restored without the evacuation
    Then the domain is evacuated for 15 s more

  Scenario: A withdrawn upgrade order that a backup still has does not start the upgrade again
    Given a follower of the operators' table with a withdrawn upgrade order
    When the store is restored with the order
    Then the gateway follows no order for 15 s more

  Scenario Outline: The order of an upgrade that is written again is not a new one within 15 s
    Given a follower of the operators' table with an upgrade order
    When the same order is written <delay> s after a restore of the store
    Then the second order counts as <count>

    Examples:
      | delay | count    |
      | 5     | the same |
      | 20    | a new one |

  Scenario: An order that the backup has, and that is written again, is not a new one
    Given a follower of the operators' table with an upgrade order
    When the store is restored to a backup with the order, which is written again 5 s later
    Then the second order counts as the same

  Scenario Outline: The status of an upgrade that the store has lost is written again, once
    Given a gateway with two upstreams
    And an upgrade that is <state>
    When the status of the upgrade is lost by a restore of the store
    Then the status <state> is written again once and the upgrade does not start again

    Examples:
      | state    |
      | reverted |
      | complete |

  Scenario: A gateway that starts after a restore learns the status of an upgrade from its peer
    Given a gateway with two upstreams
    And an upgrade that is reverted
    When the status of the upgrade is lost and a new gateway leads
    Then the status reverted is written again once and the upgrade does not start again

  Scenario: A copy of the tables from before a restore is not undone by the restored store
    Given a gateway with two upstreams
    When a gateway starts with a copy of the tables and then reads a store that has lost the evacuation
    Then the second gateway still knows the evacuation

  Scenario Outline: The era of the store is read from its answers
    Given a client of a store in era 3
    When an answer of the store has <header>
    Then <result>

    Examples:
      | header        | result                            |
      | no era        | the client has a page of era 3    |
      | the era soon  | the client has a page of era 3    |
      | the era -4    | the client has a page of era 3    |
      | the era 4     | the client has a page of era 4    |
      | the era 9     | the client has a page of era 9    |
      | the era 2     | the client rejects the answer     |

  Scenario: A gateway registers again after a restore that has lost its registration
    Given a gateway with two upstreams
    When a restore of the store loses the registration of the gateway
    Then the registration is written again within 6 s
