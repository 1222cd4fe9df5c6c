Feature: Faults that other operators reported are met

  Scenario Outline: A second copy of an answer reaches nobody: <path>
    Given a gateway with two upstreams
    And every answer is sent again 0.1 s later on the same connection
    When one caller sends 6 requests for <path> on a kept connection, 0.15 s apart
    Then each answer is that to its own request
    And no connection to an upstream carried two requests

    Examples:
      | path      |
      | /safe/    |
      | /unsafe/  |

  Scenario Outline: A slow but sound stream is complete, and a stalled one goes on elsewhere: <fault>, <pause> s
    Given a gateway with two upstreams
    And the first attempt encounters the fault <fault>
    And the upstreams pause for <pause> s before each event
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, each once, with the first upstream's signature
    And the upstreams ran at most <runs> requests for it

    Examples:
      | fault   | pause | runs |
      | none    | 0.7   | 1    |
      | none    | 1.2   | 3    |
      | trickle | 0.0   | 2    |

  Scenario: A stream that may run once isn't cut for being slow
    Given a gateway with two upstreams
    And the upstreams pause for 1.2 s before each event
    When a caller opens a stream at /once/1
    Then the caller gets all 6 events of /once/1
    And the upstreams ran at most 1 requests for it

  Scenario Outline: A caller isn't told that a request hasn't run which may have run: <path>
    Given a gateway with two upstreams
    And every attempt encounters the fault unavailable_after_run
    When a caller sends <path> with POST
    Then the caller gets 502 after <runs> runs

    Examples:
      | path      | runs |
      | /unsafe/1 | 1    |
      | /once/1   | 1    |
      | /stream/1 | 3    |

  Scenario: A stream that breaks off between two events is resumed at another upstream
    Given a gateway with two upstreams
    And the first attempt encounters the fault break_between_events
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, each once, with the first upstream's signature

  Scenario: A stream that breaks off between two events and can't be resumed doesn't look complete
    Given a gateway with two upstreams
    And the first attempt encounters the fault break_between_events
    When a caller opens a stream at /once/1
    Then the caller gets a part of the answer that is recognizably incomplete, after 1 run

  # Guards against text of an error, or the head of another reply, in a stream that has begun, and
  # against a stream that ends as if it were complete.
  Scenario Outline: A stream that has begun goes on with events only, whatever the next upstream answers: <fault>
    Given a gateway with two upstreams
    And the first attempt breaks off in an event, the second one encounters <fault> and further ones none
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, or the first two and a recognizably incomplete answer

    Examples:
      | fault                           |
      | failure                         |
      | client_error                    |
      | unavailable_after_run           |
      | full                            |
      | crossed                         |
      | encoded                         |
      | invalid_unidentified            |
      | invalid_unsigned                |
      | invalid_unidentified_failure    |
      | invalid_error_page              |
      | invalid_empty                   |
      | invalid_error_in_stream         |
      | invalid_error_in_chunked_stream |
      | invalid_restarted_stream        |
      | invalid_head_cut_after_status   |

  # Guards against the same if no upstream can go on with the stream.
  Scenario Outline: A stream that no upstream goes on with is recognizably incomplete: <fault>
    Given a gateway with two upstreams
    And the first attempt breaks off in an event, the second one encounters <fault> and further ones the same
    When a caller opens a stream at /stream/1
    Then the caller gets the first two events and a recognizably incomplete answer

    Examples:
      | fault                           |
      | failure                         |
      | client_error                    |
      | invalid_error_page              |
      | invalid_empty                   |
      | invalid_error_in_stream         |
      | invalid_error_in_chunked_stream |
      | invalid_restarted_stream        |

  # Guards against a success without a body, or with a part of it, in place of an answer whose head
  # ended early.
  Scenario Outline: A head that ends early is no answer: <fault>, <path>
    Given a gateway with two upstreams
    And the first attempt encounters the fault <fault>
    When a caller sends <path>, with a prompt if it is a stream
    Then the caller gets <status> after <n_runs> runs

    Examples:
      | fault                         | path      | status | n_runs |
      | invalid_head_cut_in_status    | /safe/1   | 200    | 2      |
      | invalid_head_cut_after_status | /safe/1   | 200    | 2      |
      | invalid_head_cut_in_field     | /safe/1   | 200    | 2      |
      | invalid_head_cut_before_end   | /safe/1   | 200    | 2      |
      | invalid_head_cut_in_status    | /unsafe/1 | 502    | 1      |
      | invalid_head_cut_after_status | /unsafe/1 | 502    | 1      |
      | invalid_head_cut_in_field     | /unsafe/1 | 502    | 1      |
      | invalid_head_cut_before_end   | /unsafe/1 | 502    | 1      |
      | invalid_head_cut_after_status | /stream/1 | 200    | 2      |
      | invalid_head_cut_before_end   | /stream/1 | 200    | 2      |
      | invalid_head_cut_after_status | /once/1   | 502    | 1      |
      | invalid_head_cut_before_end   | /once/1   | 502    | 1      |
