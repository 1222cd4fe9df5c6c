Feature: HTTP interface of the platform's service

  Scenario Outline: Every call gives the same answer over HTTP as in memory, in <coding>
    Given a platform served over HTTP
    When the same calls are made in memory and over HTTP in <coding>
    Then the answers are equal

    Examples:
      | coding  |
      | msgpack |
      | json    |

  Scenario Outline: A write whose request or answer is lost is applied once over HTTP
    Given a platform served over HTTP
    And the fault <fault> is set through the test endpoint
    When a row is inserted over HTTP
    Then the insert is reported as applied
    And the row has version 1

    Examples:
      | fault                 |
      | {"n_lost_answers":2}  |
      | {"n_lost_requests":2} |

  Scenario: Unknown faults are refused by the test endpoint
    Given a platform served over HTTP
    Then the fault {"is_downn":true} is refused by the test endpoint

  Scenario: An object whose transfer takes longer than the time limits is received while its bytes arrive
    Given a client with a limit of 0.4 s for an answer and of 1 s for a call
    When it reads an object whose answer takes 2 s and never pauses for longer than 0.1 s
    Then the object is received with one call

  Scenario: An answer that stops within its body is given up
    Given a client with a limit of 0.4 s for an answer and of 1 s for a call
    When it reads an object whose answer stops after its first bytes
    Then the call fails within 1.5 s

  Scenario Outline: A call whose answer never ends is given up, with or without retries
    Given a client with a limit of 0.4 s for an answer and of 1 s for a call
    When it makes the call <call> and the answer is the endless reply <reply>
    Then the call fails within <limit> s

    Examples:
      | call    | reply           | limit |
      | get     | HEAD            | 1.5   |
      | get     | SLOW_INTERIM    | 1.5   |
      | get     | BODY            | 3     |
      | get     | CHUNK_EXTENSION | 1.5   |
      | rate    | HEAD            | 1.5   |
      | rate    | SLOW_INTERIM    | 1.5   |
      | rate    | BODY            | 3     |
      | reserve | SLOW_INTERIM    | 1.5   |
      | reserve | BODY            | 3     |
