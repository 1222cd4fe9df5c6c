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

  Scenario Outline: All gateways know a change in time though <fault>
    Given <n> gateways in <domains> failure domains, with a fifth of the datagrams lost
    When <fault> and a configuration and an upstream's leaving are written, <times> times
    Then each sound gateway knows the changes within 3 s

    Examples:
      | n  | domains | fault                                           | times |
      | 4  | 1       | nothing fails                                   | 3 |
      | 24 | 3       | nothing fails                                   | 6 |
      | 68 | 5       | nothing fails                                   | 3 |
      | 4  | 1       | the next two messages of each gateway are lost  | 3 |
      | 24 | 3       | the next two messages of each gateway are lost  | 6 |
      | 68 | 5       | the next two messages of each gateway are lost  | 3 |
      | 4  | 1       | a reader is killed                              | 2 |
      | 24 | 3       | a reader is killed                              | 6 |
      | 68 | 5       | a reader is killed                              | 3 |
      | 24 | 3       | both readers of a failure domain are killed     | 6 |
      | 24 | 3       | a reader is cut off from the store              | 6 |
      | 68 | 5       | a reader is cut off from the store              | 3 |
      | 24 | 3       | a reader is frozen                              | 6 |
      | 68 | 5       | a reader is frozen                              | 3 |
      | 24 | 3       | both readers of a failure domain are frozen     | 6 |
      | 4  | 1       | a reader reports changes that it doesn't have   | 3 |
      | 24 | 3       | a reader reports changes that it doesn't have   | 6 |
      | 68 | 5       | a reader reports changes that it doesn't have   | 3 |
      | 24 | 3       | a reader's calls return no changes              | 6 |
      | 24 | 3       | the history of changes is discarded             | 6 |
      | 24 | 3       | both readers restart after the history is lost  | 6 |

  Scenario Outline: Entries that expire in an outage of the store are retained by all gateways
    Given 24 gateways in 3 failure domains, with a fifth of the datagrams lost
    When the store is silent for <silent> s, in which an entry of a running upstream expires
    Then no gateway drops it if its entry is back 1.2 s after the store's return
    And 8 s later at most 7 gateways follow the tables

    Examples:
      | silent |
      | 4      |
      | 5      |
      | 8      |

  Scenario Outline: An upstream that leaves in an outage gets no request once the bounds hold again
    Given 24 gateways in 3 failure domains, with a fifth of the datagrams lost
    When the store is silent for <silent> s, in which an upstream leaves
    Then no gateway knows it 3 s after the store's return

    Examples:
      | silent |
      | 4      |
      | 8      |

  Scenario: A gateway that copies is in doubt about its configuration when the store fails
    Given 24 gateways in 3 failure domains, with a fifth of the datagrams lost
    When the store falls silent
    Then within 6 s each gateway counts the store as failing

  Scenario: A gateway that copies doesn't believe in an outage that only a reader has
    Given 24 gateways in 3 failure domains, with a fifth of the datagrams lost
    When a reader is cut off from the store for 10 s
    Then the others count the store as available all the time

  Scenario: A restore of the store reaches gateways that copy
    Given 24 gateways in 3 failure domains, with a fifth of the datagrams lost
    When the store is restored from a backup
    Then within 5 s each gateway knows the new era and its tables

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
