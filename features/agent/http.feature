Feature: What the agent makes of an upstream's HTTP answers

  Scenario Outline: an engine's <answer> ends as <code> with ran <ran>
    Given an upstream of kind engine that gives <answer>
    When an attempt is sent to it
    Then the call ends as <code> with ran <ran>

    Examples:
      | answer                      | code            | ran     |
      | a whole stream              | whole           | ran     |
      | a stream without end mark   | UPSTREAM_FAILED | ran     |
      | a stream without a reason   | UPSTREAM_FAILED | ran     |
      | a stream that is cut        | UPSTREAM_FAILED | unknown |
      | a damaged chunk             | UPSTREAM_FAILED | ran     |
      | an error in the stream      | UPSTREAM_FAILED | ran     |
      | status 429                  | UPSTREAM_FULL   | not_run |
      | status 503                  | UPSTREAM_DOWN   | not_run |
      | status 404                  | NO_UPSTREAM     | not_run |
      | status 400                  | BAD_REQUEST     | not_run |
      | status 500                  | UPSTREAM_FAILED | unknown |
      | no connection               | UPSTREAM_DOWN   | not_run |
      | a cut after the send        | UPSTREAM_FAILED | unknown |

  Scenario Outline: a plain service's <answer> ends as <code> with ran <ran>
    Given an upstream of kind plain that gives <answer>
    When an attempt is sent to it
    Then the call ends as <code> with ran <ran>

    Examples:
      | answer                      | code            | ran     |
      | status 200                  | whole           | ran     |
      | status 404                  | whole           | ran     |
      | status 502                  | UPSTREAM_FAILED | unknown |
      | status 503                  | UPSTREAM_FAILED | unknown |
      | no connection               | UPSTREAM_DOWN   | not_run |
      | a cut after the send        | UPSTREAM_FAILED | unknown |

  Scenario: The engine runs the version that was checked, whatever the caller's body names
    Given an upstream of kind engine that gives a whole stream
    When an attempt whose body names another model is sent to it
    Then the engine was asked for the checked version as a stream

  Scenario: An order does not use a kept connection that its service may just have closed
    Given a service that closes its connection without a word after the first answer
    When an attempt and then an order are sent to it
    Then the order is answered on a connection of its own

  Scenario: Nothing is written on a connection when the attempt is refused after it was made
    When a plain call over a real connection is refused right before the send
    Then the service has received no byte and the attempt is not run
