Feature: A gateway forwards requests unchanged and reports their outcomes correctly

  Scenario Outline: The target reaches the upstream unchanged
    Given a gateway with two upstreams
    When a caller requests <target>
    Then the caller gets 200 and the upstream ran <target> once

    Examples:
      | target                        |
      | /safe/x?a=1&b=%20c&&d         |
      | /safe/%2e%2e/%41//x;y=1       |
      | /safe/a%2Fb/./c?x=/unsafe/    |
      | /safe/inner/deep/er/          |
      | /open/1                       |

  Scenario: The route with the longest matching prefix determines the service
    Given a gateway with two upstreams
    When a caller requests /safe/inner/1
    Then the upstream's service was llm

  Scenario Outline: A request body reaches the upstream completely
    Given a gateway with two upstreams
    When a caller sends a body of <n_bytes> bytes <framing>
    Then the caller gets 200 and the upstream read <n_bytes> bytes

    Examples:
      | n_bytes | framing                  |
      | 0       | with a Content-Length    |
      | 9000    | with a Content-Length    |
      | 19999   | with a Content-Length    |
      | 9000    | in chunked encoding      |

  Scenario Outline: An invalid request is refused with an error code and reaches no upstream
    Given a gateway with two upstreams
    When a caller sends <request>
    Then the caller gets <status> with code <code> and no upstream ran the request

    Examples:
      | request                           | status | code             |
      | a request head that is too long   | 431    | head_too_large   |
      | a request body that is too long   | 413    | body_too_large   |
      | a chunked body with a length      | 400    | bad_header       |
      | bytes that are not HTTP           | 400    | bad_request      |
      | two Content-Lengths               | 400    | bad_request      |
      | an unknown host                   | 404    | not_found        |
      | an unknown path                   | 404    | not_found        |
      | an unknown API key                | 401    | invalid_api_key  |
      | no API key                        | 401    | invalid_api_key  |

  Scenario: Header fields reserved for the gateway are removed from requests and set by the gateway
    Given a gateway with two upstreams
    When a caller sends header fields reserved for the gateway
    Then the upstream got the customer's name, its own id and the time left, not the caller's values

  Scenario: A gateway without a configuration refuses requests as not ready
    Given a gateway with two upstreams
    And the operators have written no configuration
    When a caller requests /safe/1
    Then the caller gets 503 with code not_ready and no upstream ran the request
    And the answer says after which time to retry
    And the readiness probe reports that the gateway is not ready

  Scenario: Malformed entries of upstreams are skipped
    Given a gateway with two upstreams
    And malformed entries of upstreams in the store
    When a caller requests /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once
    And the gateway has loaded 4 upstreams

  Scenario Outline: A request that must not run twice is retried only if it has not run
    Given a gateway with two upstreams
    And the first attempt encounters the fault <fault>
    When a caller sends /unsafe/1 with POST
    Then the caller gets <status> after <n_runs> runs

    Examples:
      | fault   | status | n_runs |
      | full    | 200    | 1      |
      | break   | 502    | 1      |
      | failure | 500    | 1      |
      | crossed | 502    | 1      |
      | short   | 502    | 1      |
      | encoded | 502    | 1      |

  Scenario Outline: A safe request is retried
    Given a gateway with two upstreams
    And the first attempt encounters the fault <fault>
    When a caller requests /safe/1
    Then the caller gets 200 after <n_runs> runs

    Examples:
      | fault   | n_runs |
      | full    | 1      |
      | break   | 2      |
      | failure | 2      |
      | crossed | 2      |
      | short   | 2      |
      | encoded | 2      |

  Scenario: A stream is resumed at another upstream after its last complete event
    Given a gateway with two upstreams
    And the first attempt encounters the fault break_in_event
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, each once, with the first upstream's signature

  Scenario: A caller resumes a stream
    Given a gateway with two upstreams
    When a caller opens a stream at /stream/1 after event 4
    Then the caller gets events 5 to 6, each once, with the first upstream's signature

  Scenario: A stream that can't be resumed ends with a connection reset
    Given a gateway with two upstreams
    And the first attempt encounters the fault break_in_event
    When a caller opens a stream at /once/1
    Then the caller gets a part of the answer that is recognizably incomplete, after 1 run
    And the log gives the reason for the interruption

  Scenario Outline: The request is sent to the larger model if the smaller one's confidence is low
    Given a gateway with two upstreams
    And the smaller model's confidence is <confidence>
    When a caller opens a stream at /stream/1
    Then the answer comes from the model <model> after <n_runs> runs

    Examples:
      | confidence | model | n_runs |
      | 20         | large | 2      |
      | 90         | small | 1      |

  Scenario: A draining upstream gets no new requests
    Given a gateway with two upstreams
    When upstream one is draining and a caller requests /safe/1 6 times
    Then upstream one ran no request

  Scenario: An evacuated failure domain gets no new requests
    Given a gateway with two upstreams
    When the failure domain of upstream one is evacuated and a caller requests /safe/1 6 times
    Then upstream one ran no request

  Scenario: A request that exceeds its route's timeout is answered with an error
    Given a gateway with two upstreams
    And the first attempt encounters the fault hang
    When a caller sends /short/1 with POST
    Then the caller gets 504 after 1 runs

  Scenario: A request whose deadline passed while the process was suspended is not sent
    Given a gateway with two upstreams
    When the process is suspended for 60 s while it handles /unsafe/1
    Then the caller gets 503 with code no_upstream and no upstream ran the request

  Scenario: The connection to the upstream is closed when the caller disconnects
    Given a gateway with two upstreams
    And the first attempt encounters the fault hang
    When a caller disconnects while /unsafe/1 runs
    Then the upstream sees its connection closed

  Scenario: An older configuration is never put in force and a removed API key is refused
    Given a gateway with two upstreams
    When a newer configuration without the key is followed by an older one with it
    Then the caller gets 401 with code invalid_api_key and no upstream ran the request

  Scenario: Requests are served while the store is unavailable
    Given a gateway with two upstreams
    When the store stops answering and a caller requests /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once

  Scenario: A gateway that starts while the store is unavailable refuses requests as not ready
    Given a gateway with two upstreams
    And the store refuses calls as busy from the start
    When a caller requests /safe/1
    Then the caller gets 503 with code not_ready and no upstream ran the request
    And the log says that the store fails

  Scenario: A gateway that starts while the store is unavailable copies the tables from another gateway
    Given a gateway with two upstreams
    When the store stops answering, a second gateway starts and a caller sends it a request for /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once
    And the log says that tables were copied from another gateway

  Scenario: A gateway that gets no copy from another gateway reads the tables from the store
    Given a gateway with two upstreams
    When a second gateway gets corrupt copies and no answer from the store at first
    Then the second gateway has the configuration of the store
    And the log says that no tables were copied from another gateway

  Scenario: A copy never replaces a table that is already loaded
    Given a gateway with two upstreams
    When the gateway gets a copy with another configuration
    Then the configuration of the store stays in force

  Scenario: Changes are followed after the store has dropped its history
    Given a gateway with two upstreams
    When the store drops its history and then a newer configuration arrives
    Then the newer configuration is in force

  Scenario: A stopping gateway reports that it is not ready, still serves requests and closes connections
    Given a gateway with two upstreams
    When the gateway begins to stop and a caller requests /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once
    And the answer says that the connection will be closed
    And the readiness probe reports that the gateway is not ready

  Scenario Outline: A stopping gateway refuses requests that another accepts or that can't end in time
    Given a gateway with two upstreams
    And another gateway that is <other>
    When the gateway has been stopping for <since> s and a caller requests <path> with <method>
    Then the caller gets <status> and may retry after about <retry> s

    Examples:
      | other    | since | path      | method | status | retry |
      | running  | 2     | /unsafe/1 | POST   | 200    | 0     |
      | running  | 4     | /unsafe/1 | POST   | 503    | 0.05  |
      | stopping | 4     | /unsafe/1 | POST   | 200    | 0     |
      | stopping | 4     | /once/1   | POST   | 503    | 3.9   |
      | stopping | 7     | /unsafe/1 | POST   | 503    | 0.9   |

  Scenario Outline: The log and the metrics show why an upstream was chosen and how long the request waited
    Given a gateway with two upstreams
    And <state>
    When a caller sends <path>, with a prompt if it is a stream
    Then the request's log line has the reason <reason> and the waiting time is recorded
    And a refused caller may retry after <retry> s

    Examples:
      | state                       | path      | reason       | retry |
      | all upstreams are available | /unsafe/1 | least_loaded | 0     |
      | all upstreams are available | /stream/1 | affinity     | 0     |
      | all domains are evacuated   | /short/1  | none_allowed | 2     |

  Scenario: Requests on one connection are answered in order
    Given a gateway with two upstreams
    When a caller sends three requests at once on one connection
    Then their answers come in order

  Scenario Outline: A request that has reached no upstream is sent again without any budget: <path>
    Given a gateway with two upstreams
    And upstream one refuses connections and the budget of extra attempts is used up
    When callers send <path> 4 times, first to upstream one
    Then every caller got 200

    Examples:
      | path      |
      | /unsafe/1 |
      | /stream/1 |

  Scenario: With its budget used up a gateway asks the largest model first
    Given a gateway with two upstreams
    And the smaller model's confidence is 10
    When the budget of extra attempts is used up and a caller opens a stream at /stream/1
    Then the answer comes from the model large after 1 runs

  Scenario Outline: A caller's own error says nothing about an upstream's health: <path>
    Given a gateway with two upstreams
    And every attempt encounters the fault client_error
    When callers send <path> 4 times
    Then every caller got 409
    And no upstream is suspended and none of the 4 answers counts as a failure of its version

    Examples:
      | path      |
      | /safe/1   |
      | /stream/1 |
