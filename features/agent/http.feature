Feature: How the agent interprets an upstream's HTTP answers

  The code whole stands for a complete answer.

  Scenario Outline: A call to an engine that responds with <answer> ends as <code> with execution status <ran>
    Given an upstream of kind engine that responds with <answer>
    When an attempt is sent to it
    Then the call ends as <code> with execution status <ran>

    Examples:
      | answer                           | code            | ran     |
      | a complete stream                | whole           | ran     |
      | a stream without an end marker   | UPSTREAM_FAILED | ran     |
      | a stream without a finish reason | UPSTREAM_FAILED | ran     |
      | an interrupted stream            | UPSTREAM_FAILED | unknown |
      | a malformed chunk                | UPSTREAM_FAILED | ran     |
      | an error in the stream           | UPSTREAM_FAILED | ran     |
      | status 429                       | UPSTREAM_FULL   | not_run |
      | status 503                       | UPSTREAM_DOWN   | not_run |
      | status 404                       | NO_UPSTREAM     | not_run |
      | status 400                       | BAD_REQUEST     | not_run |
      | status 500                       | UPSTREAM_FAILED | unknown |
      | no connection                    | UPSTREAM_DOWN   | not_run |
      | an interruption after the send   | UPSTREAM_FAILED | unknown |

  Scenario Outline: A call to a plain service that responds with <answer> ends as <code> with execution status <ran>
    Given an upstream of kind plain that responds with <answer>
    When an attempt is sent to it
    Then the call ends as <code> with execution status <ran>

    Examples:
      | answer                           | code            | ran     |
      | status 200                       | whole           | ran     |
      | status 404                       | whole           | ran     |
      | status 502                       | UPSTREAM_FAILED | unknown |
      | status 503                       | UPSTREAM_FAILED | unknown |
      | no connection                    | UPSTREAM_DOWN   | not_run |
      | an interruption after the send   | UPSTREAM_FAILED | unknown |

  Scenario: The engine runs the version that was checked, whatever model the caller's body names
    Given an upstream of kind engine that responds with a complete stream
    When an attempt whose body names another model is sent to it
    Then the request to the engine names the checked version and asks for a stream

  Scenario: An order does not reuse a connection that its service may just have closed
    Given a service that closes its connection without notice after the first answer
    When an attempt and then an order are sent to it
    Then the order is answered on a new connection

  # Guards against an earlier refusal or answer that is taken for the answer to a call which the
  # upstream runs.
  Scenario Outline: A reply that is sent once more isn't taken for the answer to the next call: <reply>, <time>
    Given a service that sends its first <reply> once more <time>
    When two attempts are sent to it
    Then the second one gets its own answer

    Examples:
      | reply   | time                        |
      | refusal | together with it            |
      | refusal | as the next request arrives |
      | answer  | together with it            |
      | answer  | as the next request arrives |

  # Guards against an empty answer in place of one whose head ended early.
  Scenario Outline: An answer whose head ends early is none: <kind>, after <n> bytes
    Given a service whose answer ends after <n> bytes
    When an attempt of kind <kind> is sent to this service
    Then it ends as failed, and may have run

    Examples:
      | kind   | n  |
      | plain  | 10 |
      | plain  | 17 |
      | plain  | 26 |
      | plain  | 36 |
      | engine | 17 |
      | engine | 36 |

  # Guards against a part of an answer that passes as the whole one: the transport ignores the error
  # of its write, and then sees a plain end of the connection.
  Scenario Outline: An answer that is cut by a reset before the request is written is none: <kind>
    Given a service that answers <kind> an upload at once and resets the connection after <delay> s
    When 6 attempts with an upload of 6000000 bytes are sent to it
    Then each ends as failed, and may have run

    Examples:
      | kind                        | delay |
      | without a length to         | 0     |
      | without a length to         | 0.02  |
      | with too long a length to   | 0.02  |
      | with an unfinished chunk to | 0.02  |

  # Guards against the loss of a whole answer because its request was not read to the end.
  Scenario: An answer with a length is whole though the request isn't read to its end
    Given a service that answers with its length to an upload at once and resets the connection after 0.02 s
    When 6 attempts with an upload of 6000000 bytes are sent to it
    Then each ends as whole

  # Guards against a malformed status or field that is passed on as a part of an answer.
  Scenario Outline: An answer whose head is malformed is none: <fault>
    Given a service whose answer has <fault>
    When an attempt of kind plain is sent to this service
    Then it ends as failed, and may have run

    Examples:
      | fault                         |
      | status 000                    |
      | status 000 without a reason   |
      | status 099                    |
      | status 101                    |
      | status 20                     |
      | status 2000                   |
      | status 600                    |
      | status 999                    |
      | version HTTP/2.0              |
      | version HTTP/0.9              |
      | a value with byte 1           |
      | a value with byte 127         |
      | a length and chunks           |
      | a name with a blank in it     |
      | a name with a blank after it  |
      | a name with a blank before it |
      | a name with byte 0            |
      | a name with byte 1            |
      | a name with a carriage return |
      | an empty name                 |
      | a line without a colon        |

  Scenario: Nothing is written to a connection if the attempt is refused after the connection was made
    When a call to a plain service over a real connection is refused right before the send
    Then the service has received no bytes and the attempt has not run

  # Guards against an answer or a report that never ends and is passed on until the deadline, which
  # an entry keeps in memory.
  Scenario Outline: A reply that never ends is given up early: <call>, <reply>
    Given an upstream whose answers are the endless reply <reply>
    When the agent makes the call <call> with 10 s left
    Then it fails within <limit> s with at most 12 MB held

    Examples:
      | call        | reply           | limit |
      | probe       | SLOW_BODY       | 1.5   |
      | probe       | SLOW_INTERIM    | 1.5   |
      | probe       | BODY            | 1.5   |
      | probe       | HEAD            | 1.5   |
      | list_loaded | SLOW_BODY       | 1.5   |
      | list_loaded | BODY            | 1.5   |
      | order       | BODY            | 2     |
      | engine      | EVENT           | 2     |
      | engine      | CHUNK_EXTENSION | 2     |
      | engine      | HEAD            | 2     |
      | engine      | GARBAGE         | 2     |
      | engine      | TOKENS          | 4     |
      | plain       | HEAD            | 2     |
      | plain       | GARBAGE         | 2     |
      | plain       | CHUNK_EXTENSION | 2     |
      | plain       | BODY            | 2     |
      | plain       | LONG_BODY       | 2     |
      | plain       | TINY_CHUNKS     | 2     |
      | engine      | TINY_CHUNKS     | 2     |

  # Guards against interim answers that are kept until the process has no memory left.
  Scenario Outline: Interim answers without end are dropped until the deadline: <call>, <reply>
    Given an upstream whose answers are the endless reply <reply>
    When the agent makes the call <call> with 2 s left
    Then it is given up within 2.5 s with at most 12 MB held

    Examples:
      | call   | reply        |
      | plain  | INTERIM      |
      | plain  | SLOW_INTERIM |
      | engine | INTERIM      |
