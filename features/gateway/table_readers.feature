Feature: Two gateways of a failure domain follow the store's tables, the others copy the changes

  Scenario Outline: With readers the gateways make a fraction of the calls for changes
    Given <n> gateways in <domains> failure domains, with a fifth of the datagrams lost
    When they run for 20 s without changes other than heartbeats
    Then at most <readers> gateways follow the tables on average
    And they make at most <share> % of the calls that they make when all follow
    And each gateway that copies requests at most 0.5 copies per second of at most 1 KB each

    Examples:
      | n  | domains | readers | share |
      | 4  | 1       | 2.5     | 60    |
      | 24 | 3       | 7       | 32    |
      | 29 | 4       | 9       | 34    |
      | 68 | 5       | 12      | 20    |

  Scenario: Gateways that start together and know no others read the tables themselves
    Given 24 gateways in 3 failure domains, with a fifth of the datagrams lost
    When they have just started
    Then each gateway reads each table from the store
    And 10 s later at most 7 gateways follow the tables

  Scenario Outline: All gateways follow the tables where readers aren't wanted: <case>
    Given <n> gateways in <domains> failure domains with <readers> readers each
    When they run for 20 s without changes other than heartbeats
    Then all <n> gateways follow the tables

    Examples:
      | case             | n  | domains | readers |
      | switched off     | 24 | 3       | 0       |
      | two per domain   | 6  | 3       | 2       |
      | one per domain   | 4  | 4       | 2       |

  Scenario: A gateway that copies works on real connections
    Given a gateway with two upstreams
    When two more gateways of its failure domain start and one of them copies
    Then it makes no calls for changes, and knows a configuration and an upstream's leaving in 3 s
    And when both readers have stopped it knows the next changes in 3 s

  Scenario: A table's copy leaves out repeated entries
    Given a replica of the upstreams' table with an entry that was repeated
    Then a copy of the changes has no row for it, and one after its draining has it

  Scenario Outline: Operators set the number of readers, or switch them off
    Given a settings file <line>
    Then a failure domain has <n> readers

    Examples:
      | line                        | n |
      | without a number of readers | 2 |
      | with "tableReaders = 0"     | 0 |
      | with "tableReaders = 3"     | 3 |
