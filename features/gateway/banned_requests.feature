Feature: A request that is known to crash upstreams is not sent on, whatever it was doing when this became known

  Scenario Outline: A request whose first attempt fails isn't sent to a second upstream once it is refused: <path>
    Given a gateway with two upstreams
    And the first attempt breaks after 0.5 s
    When a caller sends <path>, and another gateway reports 0.2 s later that it has crashed 3 upstreams
    Then one upstream got the request, and the caller gets 502

    Examples:
      | path      |
      | /safe/1   |
      | /stream/1 |

  Scenario: A safe request that is late isn't sent to a second upstream once it is refused
    Given a gateway with two upstreams
    And the first attempt is silent for 1.5 s
    When a caller sends /safe/1, and another gateway reports 0.2 s later that it has crashed 3 upstreams
    Then one upstream got the request, and the caller gets an answer

  Scenario Outline: A stream that waits in the queue of an upstream is withdrawn once it is refused: by its <ban>
    Given a gateway with two upstreams
    And the first attempt is silent for 4 s
    When a caller sends /stream/1, and another gateway reports 0.2 s later that its <ban> has crashed 3 upstreams
    Then the upstream's connection is closed within 0.5 s, and the caller gets 502

    Examples:
      | ban    |
      | body   |
      | prompt |

  Scenario: A stream that has begun goes on when it becomes refused
    Given a gateway with two upstreams
    And the first attempt is silent for 0.6 s within the stream
    When a caller sends /stream/1, and another gateway reports 0.2 s later that it has crashed 3 upstreams
    Then the caller gets the whole stream

  Scenario: A request that is refused while it waits for an upstream is told that it has not run
    Given a gateway with two upstreams
    And both upstreams want no requests for 0.6 s
    When a caller sends /stream/1, and another gateway reports 0.2 s later that it has crashed 3 upstreams
    Then no upstream got the request, and the caller gets 503 within 0.3 s

  Scenario: A crash is recognised though the first connection to the upstream times out
    Given a crash detector, and an upstream whose address first can't be reached and then refuses connections
    When the connection of a request to this upstream breaks
    Then the detector counts a crash of the request

  # Guards against the permanent refusal of a sound request that was open in three crashes.
  Scenario: A request that is polled while an upstream goes down and up goes on being served
    Given a gateway with two upstreams
    When /safe/1 is polled by 4 callers for 6 s while upstream one crashes every 0.9 s
    Then at least 3 polls were lost in crashes and none was refused
    And the last polls are answered
