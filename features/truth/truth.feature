Feature: Reported outcomes are true, even if the reporting process itself was delayed

  Scenario Outline: A status that guarantees "not run" is used only for requests that did not run
    When a request with execution status <ran> is given up with <code>
    Then the reported code is <reported>

    Examples:
      | ran     | code             | reported         |
      | not_run | UPSTREAM_DOWN    | UPSTREAM_DOWN    |
      | unknown | UPSTREAM_DOWN    | UPSTREAM_FAILED  |
      | ran     | UPSTREAM_DOWN    | UPSTREAM_FAILED  |
      | unknown | OVERLOADED       | UPSTREAM_FAILED  |
      | unknown | DEADLINE_PASSED  | DEADLINE_PASSED  |
      | unknown | OUTCOME_UNKNOWN  | OUTCOME_UNKNOWN  |

  Scenario Outline: A process that woke up late counts the silence of its peers from its wake-up
    Given a peer that was last seen at 10 s
    When the process, due to wake up at <due> s, wakes up at <woke> s
    Then at 14 s the peer has been silent for <silence> s

    Examples:
      | due | woke | silence |
      | 11  | 11.1 | 4.0     |
      | 11  | 13.5 | 0.5     |

  Scenario: The installed package contains the demo's document
    When the list of the files in the package's wheel is built
    Then the demo's document is in the list

  Scenario: A missing document raises an error with a code
    When a document that does not exist is loaded for the demo
    Then the error has a code and names the document
