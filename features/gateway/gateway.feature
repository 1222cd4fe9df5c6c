Feature: A gateway passes requests through as they are and tells the truth about them

  Scenario Outline: The target reaches the upstream unchanged
    Given a gateway with two upstreams
    When a caller asks for <target>
    Then the caller gets 200 and the upstream ran <target> once

    Examples:
      | target                        |
      | /safe/x?a=1&b=%20c&&d         |
      | /safe/%2e%2e/%41//x;y=1       |
      | /safe/a%2Fb/./c?x=/unsafe/    |
      | /safe/inner/deep/er/          |
      | /open/1                       |

  Scenario: The longest prefix decides on the service
    Given a gateway with two upstreams
    When a caller asks for /safe/inner/1
    Then the upstream's service was llm

  Scenario Outline: A body reaches the upstream whole
    Given a gateway with two upstreams
    When a caller sends a body of <n_bytes> bytes <way>
    Then the caller gets 200 and the upstream read <n_bytes> bytes

    Examples:
      | n_bytes | way           |
      | 0       | with a length |
      | 9000    | with a length |
      | 19999   | with a length |
      | 9000    | in chunks     |

  Scenario Outline: What a caller may not send gets a coded error and reaches no upstream
    Given a gateway with two upstreams
    When a caller sends <request>
    Then the caller gets <status> with code <code> and nothing ran

    Examples:
      | request                        | status | code             |
      | a head that is too long        | 431    | head_too_large   |
      | a body that is too long        | 413    | body_too_large   |
      | a body with length and chunks  | 400    | bad_header       |
      | bytes that are no request      | 400    | bad_request      |
      | two lengths                    | 400    | bad_request      |
      | an unknown host                | 404    | not_found        |
      | an unknown path                | 404    | not_found        |
      | an unknown key                 | 401    | invalid_api_key  |
      | no key                         | 401    | invalid_api_key  |

  Scenario: Header fields that are the system's to set are removed and set anew
    Given a gateway with two upstreams
    When a caller sends the system's header fields
    Then the upstream got the customer's name, its own id and the time left, and none of the caller's

  Scenario: A gateway that knows no configuration yet says so
    Given a gateway with two upstreams
    And the operators have written no configuration
    When a caller asks for /safe/1
    Then the caller gets 503 with code not_ready and nothing ran
    And the caller is told when to come back
    And the balancer is told that the gateway is not ready

  Scenario: Entries that can't be read name no upstream
    Given a gateway with two upstreams
    And damaged entries of upstreams
    When a caller asks for /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once
    And the gateway knows 4 upstreams

  Scenario Outline: A request that may run once is sent again only where it has not run
    Given a gateway with two upstreams
    And the first attempt meets <fault>
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

  Scenario Outline: A safe request is sent again
    Given a gateway with two upstreams
    And the first attempt meets <fault>
    When a caller asks for /safe/1
    Then the caller gets 200 after <n_runs> runs

    Examples:
      | fault   | n_runs |
      | full    | 1      |
      | break   | 2      |
      | failure | 2      |
      | crossed | 2      |
      | short   | 2      |
      | encoded | 2      |

  Scenario: A stream is resumed elsewhere after its last whole event
    Given a gateway with two upstreams
    And the first attempt meets break_in_event
    When a caller opens a stream at /stream/1
    Then the caller gets events 1 to 6, each once, with the first upstream's signature

  Scenario: A caller resumes a stream
    Given a gateway with two upstreams
    When a caller opens a stream at /stream/1 after event 4
    Then the caller gets events 5 to 6, each once, with the first upstream's signature

  Scenario: A stream that can't be resumed ends by a reset
    Given a gateway with two upstreams
    And the first attempt meets break_in_event
    When a caller opens a stream at /once/1
    Then the caller gets a part that does not look complete, after 1 run
    And the log says why it was cut

  Scenario Outline: The larger model is asked where the smaller one doubts its answer
    Given a gateway with two upstreams
    And the smaller model's confidence is <confidence>
    When a caller opens a stream at /stream/1
    Then the answer comes from the model <model> after <n_runs> runs

    Examples:
      | confidence | model | n_runs |
      | 20         | large | 2      |
      | 90         | small | 1      |

  Scenario: An upstream that leaves gets no new work
    Given a gateway with two upstreams
    When the upstream one is draining and a caller asks 6 times for /safe/1
    Then the upstream one ran nothing

  Scenario: A failure domain that is out gets no new work
    Given a gateway with two upstreams
    When the domain of the upstream one is out and a caller asks 6 times for /safe/1
    Then the upstream one ran nothing

  Scenario: The route's time is kept
    Given a gateway with two upstreams
    And the first attempt meets hang
    When a caller sends /short/1 with POST
    Then the caller gets 504 after 1 runs

  Scenario: A request whose time was over when the process woke up is not sent
    Given a gateway with two upstreams
    When the process is suspended for 60 s while it takes /unsafe/1
    Then the caller gets 503 with code no_upstream and nothing ran

  Scenario: The upstream is told when the caller leaves
    Given a gateway with two upstreams
    And the first attempt meets hang
    When a caller leaves while /unsafe/1 runs
    Then the upstream sees its connection end

  Scenario: A configuration in force never goes back and a key taken away is refused
    Given a gateway with two upstreams
    When a newer configuration without the key is followed by an older one with it
    Then the caller gets 401 with code invalid_api_key and nothing ran

  Scenario: Service goes on while the store is away
    Given a gateway with two upstreams
    When the store falls silent and a caller asks for /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once

  Scenario: A gateway that starts while the store is away says so
    Given a gateway with two upstreams
    And the store is busy from the start
    When a caller asks for /safe/1
    Then the caller gets 503 with code not_ready and nothing ran
    And the log says that the store fails

  Scenario: A gateway that starts while the store is away learns the tables from another one
    Given a gateway with two upstreams
    When the store falls silent, a second gateway starts and a caller asks it for /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once
    And the log says that tables were taken from another gateway

  Scenario: A gateway without a copy from another one learns the tables from the store
    Given a gateway with two upstreams
    When a second gateway meets damaged copies and a store that is silent at first
    Then the second gateway has the configuration of the store
    And the log says that there are no tables from another gateway

  Scenario: A copy never replaces what is known
    Given a gateway with two upstreams
    When the gateway is given a copy with another configuration
    Then the configuration of the store stays in force

  Scenario: The feed's history is dropped
    Given a gateway with two upstreams
    When the store drops its history and then a newer configuration arrives
    Then the newer configuration is in force

  Scenario: A gateway that stops is taken out first and ends its connections
    Given a gateway with two upstreams
    When the gateway is told to stop and a caller asks for /safe/1
    Then the caller gets 200 and the upstream ran /safe/1 once
    And the answer says that the connection ends
    And the balancer is told that the gateway is not ready

  Scenario Outline: A gateway that stops refuses what another takes or what can't end in time
    Given a gateway with two upstreams
    And another gateway that is <other>
    When the gateway stops since <since> s and a caller asks for <path> with <method>
    Then the caller gets <status> and may come back after about <retry> s

    Examples:
      | other    | since | path      | method | status | retry |
      | running  | 2     | /unsafe/1 | POST   | 200    | 0     |
      | running  | 4     | /unsafe/1 | POST   | 503    | 0.05  |
      | stopping | 4     | /unsafe/1 | POST   | 200    | 0     |
      | stopping | 4     | /once/1   | POST   | 503    | 3.9   |
      | stopping | 7     | /unsafe/1 | POST   | 503    | 0.9   |

  Scenario Outline: The log and the metrics tell why a request went where it went
    Given a gateway with two upstreams
    And <state>
    When a caller sends <path>, with a prompt where it is a stream
    Then the log's line of the request has the reason <reason> and the wait is counted
    And a refused caller may come back after <retry> s

    Examples:
      | state                   | path      | reason       | retry |
      | all upstreams are there | /unsafe/1 | least_loaded | 0     |
      | all upstreams are there | /stream/1 | affinity     | 0     |
      | all domains are out     | /short/1  | none_allowed | 2     |

  Scenario: Requests on one connection are answered in order
    Given a gateway with two upstreams
    When a caller sends three requests at once on one connection
    Then their answers come in order
