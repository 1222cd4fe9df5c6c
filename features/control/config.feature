Feature: An accepted configuration is kept, spreads as deltas, and never reverts

  Scenario: A delta makes the new document of the old one, and of no other
    Then a delta between any two documents restores the second from the first
    And a delta for another document is refused

  Scenario Outline: A publication under a fault ends truthfully: <fault>
    Given an environment at revision 3
    When the fault "<fault>" is in force
    And operator a publishes on revision 3
    Then operator a gets "<result>"
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

  Scenario Outline: Of two operators at once one wins and the other learns the newer revision: <fault>
    Given an environment at revision 3
    When the fault "<fault>" is in force
    And operators a and b publish on revision 3 at once
    Then one gets revision 4 and the other a conflict with revision 4
    And the store holds the winner's document at revision 4

    Examples:
      | fault        |
      | none         |
      | answer lost  |
      | request lost |
      | store slow   |

  Scenario: A swap without an answer is recognised after another operator has gone on
    Given an environment at revision 3
    When a's swap loses its answer and operator b publishes on revision 4 before the retry
    Then operator a gets "revision 4"
    And the store ends at revision 5

  Scenario: Every revision can be read back, and a reader that follows pays only for what is new
    Given an environment at revision 150 with a snapshot every 20 revisions
    Then every revision from 1 to 150 loads as it was published
    And a reader that is 3 revisions behind needs 2 reads and no object
    And the history of 5 names revisions 150 to 146

  Scenario: A revision is promoted from trial to production
    Given an environment at revision 3
    When revision 2 of it is promoted to an empty production
    Then production holds that document as revision 1 with a note

  Scenario Outline: A process never goes back: <offer>
    Given a process at revision 5
    When it is offered <offer>
    Then it answers <answer>
    And it stays at revision 5

    Examples:
      | offer                             | answer                  |
      | a push of revision 4              | revision 5              |
      | a push of revision 5              | revision 5              |
      | the document of revision 4        | not taken               |
      | another document as revision 5    | not taken               |
      | a delta on revision 6             | revision 5, full wanted |
      | a damaged push of revision 6      | revision 5, full wanted |
      | a delta made on another revision  | revision 5, full wanted |

  Scenario: Any internal way back is an invariant error
    Given a process at revision 5
    Then installing revision 4 inside it raises an invariant error

  Scenario Outline: A peer is brought up from revision <have> by a <kind>
    Given a process at revision 40
    Then its push for revision <have> is a <kind> that brings a peer to revision 40

    Examples:
      | have | kind           |
      | 0    | whole document |
      | 3    | whole document |
      | 20   | delta          |
      | 39   | delta          |

  Scenario: A process that starts while the store is down takes the newest revision from its peers
    Given an environment at revision 3
    And a process that starts, with peers at revisions 2, 3 and one that fails
    When the fault "store down" is in force
    And the process polls 1 times
    Then the process is at revision 3

  Scenario: Peers that fail don't hide one that answers
    Given an environment at revision 3
    And a process that starts, with 4 peers that fail and one at revision 3
    When the fault "store down" is in force
    And the process polls 2 times
    Then the process is at revision 3

  Scenario: A platform restored from an old copy never reverts anything, and is mended
    Given an environment at revision 3
    And a back-up of the platform at revision 3
    And the environment goes on to revision 6
    And a process that has polled
    When the platform is restored from the back-up
    Then an operator who knows revision 6 can't publish on revision 3
    And the process that polls reports "regressed" once and stays at revision 6
    And the store is written back to revision 6 and takes revision 7
