Feature: Gateways that copy the store's tables behave in an outage like those that follow them

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
