Feature: A published configuration is retained, distributed as deltas, and never reverted

  Scenario: A delta turns the old document into the new one, and can't be applied to any other
    Then a delta between any two documents restores the second from the first
    And a delta for another document is refused

  Scenario Outline: A publication during a fault of the store reports its true outcome: <fault>
    Given an environment at revision 3
    When the fault "<fault>" is injected into the store
    And operator a publishes a change based on revision 3
    Then operator a gets the result "<result>"
    And the store ends at revision <revision>

    Examples:
      | fault                  | result        | revision |
      | none                   | revision 4    | 4        |
      | answer lost            | revision 4    | 4        |
      | request lost           | revision 4    | 4        |
      | all answers lost       | revision 4    | 4        |
      | store slow             | revision 4    | 4        |
      | store down             | not applied   | 3        |
      | all requests lost      | maybe applied | 3        |
      | answer lost, then down | maybe applied | 4        |

  Scenario Outline: Of two concurrent publications one succeeds and the other reports the newer revision: <fault>
    Given an environment at revision 3
    When the fault "<fault>" is injected into the store
    And operators a and b concurrently publish changes based on revision 3
    Then one gets revision 4 and the other a conflict with revision 4
    And the store holds the winner's document at revision 4

    Examples:
      | fault        |
      | none         |
      | answer lost  |
      | request lost |
      | store slow   |

  Scenario: A publication whose answer was lost is recognised after another operator has published
    Given an environment at revision 3
    When the answer to a's publication is lost and operator b publishes a change based on revision 4 before the retry
    Then operator a gets the result "revision 4"
    And the store ends at revision 5

  Scenario: Every revision can be loaded, and a reader of an earlier one reads only what is new
    Given an environment at revision 150 with a snapshot every 20 revisions
    Then every revision from 1 to 150 loads as it was published
    And a reader that is 3 revisions behind needs 2 reads and no snapshot object
    And the last 5 records of the history are revisions 150 to 146

  Scenario: A revision is promoted from trial to production
    Given an environment at revision 3
    When revision 2 is promoted to an empty production environment
    Then production holds that document as revision 1, with a note of its origin

  Scenario Outline: A process never reverts to an older or different document: <offer>
    Given a process at revision 5
    When it receives <offer>
    Then it replies <answer>
    And it stays at revision 5

    Examples:
      | offer                             | answer                              |
      | a push of revision 4              | revision 5                          |
      | a push of revision 5              | revision 5                          |
      | the document of revision 4        | not taken                           |
      | another document as revision 5    | not taken                           |
      | a delta based on revision 6       | revision 5, full document requested |
      | a corrupt push of revision 6      | revision 5, full document requested |
      | a delta based on another revision | revision 5, full document requested |

  Scenario: Installing an older revision inside the cache is an invariant error
    Given a process at revision 5
    Then installing revision 4 inside its cache raises an invariant error

  Scenario Outline: A peer at revision <peer_revision> is updated by a <kind>
    Given a process at revision 40
    Then its push for a peer at revision <peer_revision> is a <kind> that updates it to revision 40

    Examples:
      | peer_revision | kind          |
      | 0             | full document |
      | 3             | full document |
      | 20            | delta         |
      | 39            | delta         |

  Scenario: A process that starts while the store is down gets the newest revision from its peers
    Given an environment at revision 3
    And a process that starts, with peers at revisions 2, 3 and one that fails
    When the fault "store down" is injected into the store
    And the process polls 1 times
    Then the process is at revision 3

  Scenario: Failing peers don't keep a process from reaching one that answers
    Given an environment at revision 3
    And a process that starts, with 4 peers that fail and one at revision 3
    When the fault "store down" is injected into the store
    And the process polls 2 times
    Then the process is at revision 3

  Scenario: A platform restored from an old copy reverts no process, and is repaired
    Given an environment at revision 3
    And a backup of the platform at revision 3
    And the environment is then published up to revision 6
    And a process that has then polled the store
    When the platform is restored from the backup
    Then an operator who knows revision 6 can't publish a change based on revision 3
    And the polling process finds the head "regressed", counts that once and stays at revision 6
    And the store is repaired to revision 6 and accepts revision 7
