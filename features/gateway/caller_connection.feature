Feature: A caller's connection loses no request, whatever ends it

  Scenario: A longer idle limit reaches connections that already wait
    Given a gateway with two upstreams
    And an idle limit of 1 s
    When a kept connection waits 2.6 s, and the idle limit becomes 15 s after 0.2 s
    Then its next request is answered with 200

  Scenario: A shorter idle limit does not close connections whose callers go by the longer one
    Given a gateway with two upstreams
    And an idle limit of 3 s
    When a kept connection waits 2.6 s, and the idle limit becomes 0.2 s after 0.2 s
    Then its next request is answered with 200

  Scenario: An idle limit that became shorter before the wait does not undercut what was announced
    Given a gateway with two upstreams
    And an idle limit of 3 s
    When the idle limit becomes 0.2 s within an answer, and its connection waits 2.6 s
    Then its next request is answered with 200

  Scenario: A larger limit on request heads reaches connections that already wait
    Given a gateway with two upstreams
    When the limit on request heads grows to 9000 bytes and a waiting connection sends a head of 7000
    Then its next request is answered with 200

  Scenario: Answers announce the idle limit in whole seconds, unless they are the last ones
    Given a gateway with two upstreams
    And an idle limit of 1.4 s
    When a kept connection is used, and used again after the gateway began to stop
    Then the first answer announces 1 s, and the last one only that the connection is closed

  Scenario: A request that crosses the close of an idle connection is not read
    Given a gateway with two upstreams
    And an idle limit of 0.2 s
    When a kept connection sends a request just after the gateway closed it as idle
    Then the bytes are answered by a reset
    And the gateway counted 1 connection closed for idle, without a log line

  Scenario: A request that begins to arrive as the idle limit passes is served
    Given a gateway with two upstreams
    And an idle limit of 1 s
    When the process is suspended beyond the idle limit while the first half of a request arrives
    Then its next request is answered with 200

  Scenario: The last answer does not drop a request that was read together with the one before
    Given a gateway with two upstreams
    When a stopping gateway gets two requests in one segment
    Then both are answered and only the last answer says that the connection is closed

  Scenario: A caller that leaves after bytes of further requests ends the work for it
    Given a gateway with two upstreams
    And the first attempt encounters the fault hang
    When a connection sends /unsafe/1 and 50000 further bytes, and is closed
    Then the upstream sees its connection closed within 0.5 s

  Scenario: A caller that ends only its sending side counts as gone
    Given a gateway with two upstreams
    And the first attempt encounters the fault hang
    When a connection sends /unsafe/1 and ends its sending side
    Then the upstream sees its connection closed within 0.5 s

  Scenario Outline: An unexpected error of the gateway is answered, without a promise
    Given a gateway with two upstreams
    When the gateway has an unexpected error <when> and a caller requests <path>
    Then the caller gets 500 with code internal, after <runs> runs
    And the log names the request and the error

    Examples:
      | when                   | path      | runs |
      | at the admission       | /safe/1   | 0    |
      | before an attempt      | /unsafe/1 | 0    |
      | after the upstream ran | /unsafe/1 | 1    |
      | before an attempt      | /once/1   | 0    |

  Scenario: An unexpected error within an answer resets the connection
    Given a gateway with two upstreams
    When the gateway has an unexpected error within a stream's answer
    Then the caller gets an incomplete answer
    And the gateway counted 1 connection closed for unexpected_error, with a log line

  Scenario: A stopping process answers a request that was read in part as the last others ended
    Given a gateway process with a stand-in store and stand-in upstreams
    When the first half of a request arrives 2.8 s after the stop signal, and the rest 0.8 s later
    Then its next request is answered with 200

  Scenario: A stopping process answers requests that can't end before it
    Given a gateway process with a stand-in store and stand-in upstreams
    And a route timeout of 20 s
    And every attempt encounters the fault hang
    When the process gets a stop signal while requests for /safe/1 and /unsafe/1 run
    Then each of them is answered with 504

  Scenario: A shorter route timeout does not cut requests that run
    Given a gateway with two upstreams
    And every attempt encounters the fault silent_first
    When the route timeouts become 0.5 s while a kept connection waits for an answer
    Then its next request is answered with 200
