Feature: What is told of a request is true, also by a process that was late itself

  Scenario Outline: A status that promises "not run" is kept for requests that did not run
    When a request that <ran> is given up with <code>
    Then its code is <told>

    Examples:
      | ran     | code             | told             |
      | not_run | UPSTREAM_DOWN    | UPSTREAM_DOWN    |
      | unknown | UPSTREAM_DOWN    | UPSTREAM_FAILED  |
      | ran     | UPSTREAM_DOWN    | UPSTREAM_FAILED  |
      | unknown | OVERLOADED       | UPSTREAM_FAILED  |
      | unknown | DEADLINE_PASSED  | DEADLINE_PASSED  |
      | unknown | OUTCOME_UNKNOWN  | OUTCOME_UNKNOWN  |

  Scenario Outline: A watcher that was late gives its peers a fresh period
    Given a peer that was heard at 10 s
    When the watcher, due at <due> s, wakes at <woke> s
    Then at 14 s the peer has been silent for <silence> s

    Examples:
      | due | woke | silence |
      | 11  | 11.1 | 4.0     |
      | 11  | 13.5 | 0.5     |

  Scenario: The demo's document comes with the installed package
    When the package is built as a wheel's list of files
    Then the demo's document is in it

  Scenario: A missing document is a coded error
    When a document that does not exist is loaded for the demo
    Then the error is coded and names the document
