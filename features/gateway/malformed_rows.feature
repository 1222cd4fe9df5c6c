Feature: A row of the store that can't be read or applied doesn't hold up the others

  # Guards against an entry of another writer that ends the reading of all entries.
  Scenario Outline: An entry that can't be read names no upstream, and later changes take effect: <entry>
    Given a gateway with two upstreams
    When <entry> is stored and then upstream one begins to drain, while requests for /unsafe/1 arrive
    Then the gateway knows within 2 s that upstream one is draining
    And all requests are answered, and none sent later reached upstream one
    And the malformed entry is logged once

    Examples:
      | entry                                  |
      | an entry within 2000 lists             |
      | an entry with a field of 2000 lists    |
      | an entry with a port that is no number |
      | an entry with a port of 5000 digits    |
      | an entry with a port over 65535        |
      | an entry with a name as its address    |
      | an entry with slots of 400 digits      |
      | an entry with a start of 30 digits     |
      | an entry within 32000 lists            |
      | an entry with a start of 1e999         |
      | an entry with a port of 0              |
      | an entry with a port of -1             |
      | an entry with a lone surrogate         |
      | an entry with slots of minus 400 digits |
      | an entry with slots of -1              |
      | an entry with a cold time of 1e308     |

  # Guards against a gateway that never becomes ready while such an entry is stored.
  Scenario Outline: A gateway that starts while such an entry is stored becomes ready: <entry>
    Given a gateway with two upstreams
    And <entry> in the store
    When a caller requests /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once
    And the gateway has loaded 4 upstreams

    Examples:
      | entry                                  |
      | an entry within 2000 lists             |
      | an entry with a field of 2000 lists    |
      | an entry with a port that is no number |
      | an entry with slots of 400 digits      |

  # Guards against the loss of the other rows of a page, and of all later pages, by one row.
  Scenario Outline: A row that can't be applied is logged, and the others hold: <source>
    Given a gateway with two upstreams
    When the application of one row fails as it comes <source> with a change of upstream one
    Then the gateway knows within 2 s that upstream one is draining
    And the log says that the row was not applied

    Examples:
      | source               |
      | from the store       |
      | in a copy of a peer  |

  # Guards against a gateway that stays ready and learns of no more changes after an error of its own.
  Scenario: A follower that fails is started again and reads its table anew
    Given a gateway with two upstreams
    When the follower of upstreams fails once and upstream one begins to drain meanwhile
    Then the gateway knows within 3 s that upstream one is draining
    And the log says that a task failed

  # Guards against a datagram of any sender that ends the exchange of gossip.
  Scenario: A gossip message that can't be read doesn't end gossip
    Given a gateway with two upstreams
    When a datagram within 2000 lists arrives before a message of a peer
    Then the gateway knows the peer

  # Guards against an unexpected error in place of a coded refusal.
  Scenario Outline: A value that is nested too deeply is malformed: <reader>
    Then <reader> refuses a value within 3000 lists as malformed

    Examples:
      | reader                                |
      | the reader of callers' bodies         |
      | the reader of an engine's chunks      |
      | the reader of configurations          |
      | the reader of upgrade orders          |
      | the reader of messages between VMs    |
      | the reader of the store's answers     |
