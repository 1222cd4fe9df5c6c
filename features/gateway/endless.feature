Feature: An upstream whose bytes never end costs neither its caller the answer nor the gateway its memory

  Scenario Outline: A safe request is sent to another upstream at once when the reply can't be an answer
    Given a gateway with two upstreams
    And the first attempt meets <fault>
    When a caller sends GET /safe/1 and times the answer
    Then it gets a whole answer within 1.5 s
    And the upstreams ran 2 request(s) in total
    And the endless reply's connection is closed

    Examples:
      | fault                   |
      | endless_head            |
      | endless_garbage         |
      | endless_interim         |
      | endless_slow_interim    |
      | endless_chunk_extension |
      | endless_body            |
      | endless_tiny_chunks     |
      | endless_long_body       |

  Scenario Outline: An unsafe request fails at once when the reply can't be an answer, and is not repeated
    Given a gateway with two upstreams
    And the first attempt meets <fault>
    When a caller sends POST /unsafe/1 and times the answer
    Then it gets status 502 within 1.5 s
    And the upstreams ran 1 request(s) in total
    And the endless reply's connection is closed

    Examples:
      | fault                   |
      | endless_head            |
      | endless_garbage         |
      | endless_interim         |
      | endless_slow_interim    |
      | endless_chunk_extension |
      | endless_body            |
      | endless_tiny_chunks     |
      | endless_long_body       |

  Scenario Outline: A stream that may run only once fails at once when the reply can't be an answer
    Given a gateway with two upstreams
    And the first attempt meets <fault>
    When a caller opens a stream at /once/1 and times the answer
    Then it gets status 502 within 1.5 s
    And the upstreams ran 1 request(s) in total
    And the endless reply's connection is closed

    Examples:
      | fault                   |
      | endless_head            |
      | endless_garbage         |
      | endless_interim         |
      | endless_slow_interim    |
      | endless_chunk_extension |
      | endless_body            |
      | endless_event           |

  Scenario Outline: A stream of comments without end is no answer, and another upstream gives it
    Given a gateway with two upstreams
    And the first attempt meets <fault>
    When a caller opens a stream at /stream/1 and times the answer
    Then it gets a whole answer within <limit> s
    And the upstreams ran 2 request(s) in total
    And the endless reply's connection is closed

    Examples:
      | fault                 | limit |
      | endless_comments      | 4     |
      | endless_fast_comments | 1.5   |

  Scenario Outline: A stream begins at another upstream when the reply can't be an answer
    Given a gateway with two upstreams
    And the first attempt meets <fault>
    When a caller opens a stream at /stream/1 and times the answer
    Then it gets a whole answer within 1.5 s
    And the upstreams ran 2 request(s) in total
    And the endless reply's connection is closed

    Examples:
      | fault                   |
      | endless_head            |
      | endless_garbage         |
      | endless_interim         |
      | endless_slow_interim    |
      | endless_chunk_extension |
      | endless_body            |
      | endless_event           |

  Scenario: An answer to HEAD may declare a length that is longer than any answer
    Given a gateway with two upstreams
    And the first attempt meets endless_long_body
    When a caller sends HEAD /safe/1 and times the answer
    Then it gets a whole answer within 1.5 s
    And the upstreams ran 1 request(s) in total

  Scenario: A large answer passes
    Given a gateway with two upstreams
    And the upstreams' plain answers are 8000000 bytes longer
    When a caller sends GET /safe/1 and times the answer
    Then it gets a whole answer within 5 s
    And the upstreams ran 1 request(s) in total
    And its body is as long as the upstream's

  Scenario: Many endless answers at once fit into the memory of the smallest machine
    Given a gateway with two upstreams
    And the first 16 attempts meet endless_body
    When 16 callers send GET /safe/1 at once
    Then all get whole answers
    And the process has held at most 36 MB more than before

  Scenario Outline: The answer that has grown beyond all others is dropped when no memory is left
    Given memory for answers of 1000000 bytes
    And answers with <sizes> bytes, of which <complete> are complete
    When answer <growing> grows by 200000 bytes
    Then it <outcome>
    And the dropped answers are <dropped>

    Examples:
      | sizes                  | complete | growing | outcome | dropped |
      | 100000, 600000         | none     | 1       | grows   | none    |
      | 100000, 600000, 200000 | none     | 1       | grows   | 2       |
      | 300000, 300000, 300000 | none     | 2       | stops   | 2       |
      | 100000, 800000, 50000  | 2        | 3       | waits   | none    |
      | 50000, 600000, 340000  | 2        | 1       | grows   | 3       |

  Scenario: A small answer passes while no memory is left
    Given memory for answers of 1000000 bytes
    And answers with 1000000, 0 bytes, of which 1 are complete
    When answer 2 grows by 16000 bytes
    Then it grows

  Scenario: A large answer goes on once another has been sent
    Given memory for answers of 1000000 bytes
    And answers with 900000, 0 bytes, of which 1 are complete
    When answer 2 grows by 200000 bytes and answer 1 is sent
    Then it grows
    And the dropped answers are none

  Scenario Outline: A request isn't left to an answer that trickles because its second attempt failed
    Given a gateway with two upstreams
    And the goal of /safe/ is 1000 ms, with up to 3 attempts
    And the first attempt meets endless_slow_body, and the second <fault>
    When a caller sends GET /safe/1 and times the answer
    Then it gets a whole answer within 3 s
    And the endless reply's connection is closed

    Examples:
      | fault   |
      | none    |
      | full    |
      | failure |
      | break   |

  Scenario Outline: An upstream whose answers trickle without end is suspended
    Given a gateway with two upstreams
    And the goal of /safe/ is 200 ms, with up to 3 attempts
    And upstream one always meets endless_slow_body
    When a caller sends <n> requests <method> <path> in turn
    Then upstream one is suspended after at most <limit> of them

    Examples:
      | n  | method | path     | limit |
      | 30 | GET    | /safe/1  | 6     |
      | 30 | POST   | /short/1 | 6     |

  Scenario Outline: A rejection counts as one whatever its body is
    Given a gateway with two upstreams
    And the first attempt meets endless_rejection
    When a caller sends <method> <path> and times the answer
    Then it gets a whole answer within 1.5 s
    And the upstreams ran 1 request(s) in total
    And the endless reply's connection is closed

    Examples:
      | method | path      |
      | GET    | /safe/1   |
      | POST   | /unsafe/1 |

  Scenario: A stream that may run only once goes on elsewhere after a rejection, whatever its body is
    Given a gateway with two upstreams
    And the first attempt meets endless_rejection
    When a caller opens a stream at /once/1 and times the answer
    Then it gets a whole answer within 1.5 s
    And the upstreams ran 1 request(s) in total

  Scenario Outline: A call to the store whose answer never ends fails in time and within bounded memory
    Given a store whose answers are the endless reply <reply>
    When a table is read, and then changes are waited for
    Then each call fails as one to the platform within 5 s
    And the process has held at most 24 MB more than before
    And no other task has been kept waiting for more than 0.5 s

    Examples:
      | reply           |
      | HEAD            |
      | GARBAGE         |
      | INTERIM         |
      | SLOW_INTERIM    |
      | CHUNK_EXTENSION |
      | BODY            |
      | TINY_CHUNKS     |
      | SLOW_BODY       |
      | LONG_BODY       |
