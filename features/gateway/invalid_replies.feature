Feature: Replies that are no answer of the upstream to the request

  # Guards against a reply of a faulty upstream that reaches the caller as a success.
  Scenario Outline: A reply without the request's id or a success without a signature is no answer: <fault>, <path>
    Given a gateway with two upstreams
    And the first attempt encounters the fault <fault>
    When a caller sends <path>, with a prompt if it is a stream
    Then the caller gets <status> after <n_runs> runs
    And no byte of the invalid reply reached the caller

    Examples:
      | fault                        | path      | status | n_runs |
      | invalid_unidentified         | /safe/1   | 200    | 2      |
      | invalid_unidentified         | /unsafe/1 | 502    | 1      |
      | invalid_unidentified         | /stream/1 | 200    | 2      |
      | invalid_unidentified         | /once/1   | 502    | 1      |
      | invalid_unsigned             | /safe/1   | 200    | 2      |
      | invalid_unsigned             | /unsafe/1 | 502    | 1      |
      | invalid_unsigned             | /stream/1 | 200    | 2      |
      | invalid_anonymous            | /safe/1   | 200    | 2      |
      | invalid_anonymous            | /once/1   | 502    | 1      |
      | invalid_unidentified_failure | /safe/1   | 200    | 2      |
      | invalid_unidentified_failure | /unsafe/1 | 502    | 1      |
      | invalid_unidentified_failure | /once/1   | 502    | 1      |

  # Guards against a second run, and against a refusal that says "not run" after a run.
  Scenario Outline: A rejection that isn't of the request doesn't show that it has not run: <fault>, <path>
    Given a gateway with two upstreams
    And the first attempt encounters the fault <fault>
    When a caller sends <path>, with a prompt if it is a stream
    Then the caller gets <status> after <n_runs> runs
    And no upstream is closed for new requests

    Examples:
      | fault                          | path      | status | n_runs |
      | invalid_unidentified_rejection | /unsafe/1 | 502    | 1      |
      | invalid_unidentified_rejection | /once/1   | 502    | 1      |
      | invalid_unidentified_rejection | /safe/1   | 200    | 2      |
      | invalid_repeated_rejection     | /unsafe/1 | 502    | 1      |
      | invalid_repeated_rejection     | /once/1   | 502    | 1      |
      | invalid_repeated_rejection     | /safe/1   | 200    | 2      |

  # Guards against the refusal of sound answers: a caller without an id gets an answer without one.
  Scenario: A request without an id is answered
    Given a gateway with two upstreams
    When a request without an id arrives
    Then the caller gets 200 after 1 runs

  # Guards against an upstream that stays in use although it sends nothing but invalid replies.
  Scenario: An upstream that sends only invalid replies is left out for a time
    Given a gateway with two upstreams
    And every attempt encounters the fault invalid_unidentified
    When 12 requests for /unsafe/1 are sent with POST, one after the other
    Then no caller got a success
    And both upstreams have been left out
