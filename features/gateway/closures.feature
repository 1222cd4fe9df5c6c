Feature: Upstreams that ask for no more requests get none

  Scenario Outline: An upstream that says in an answer that it is about to stop gets no more requests: <answer>
    Given a gateway with two upstreams
    And upstream one is about to stop and its answers are <answer>
    When callers request <path> until upstream one has said that it is about to stop, and 8 times more
    Then upstream one got no request after its answer

    Examples:
      | answer         | path      |
      | none           | /safe/1   |
      | none           | /unsafe/1 |
      | failure        | /safe/1   |
      | full           | /unsafe/1 |
      | overloaded     | /safe/1   |
      | short          | /safe/1   |
      | crossed        | /safe/1   |
      | none           | /stream/1 |
      | break_in_event | /stream/1 |

  Scenario: A caller is refused at once if all upstreams are about to stop
    Given a gateway with two upstreams
    And both upstreams are about to stop
    When a caller sends /short/1 with POST after another gateway has reported it
    Then the caller gets 503 with code no_upstream and no upstream ran the request
    And the answer says after which time to retry

  Scenario Outline: Only the run of an upstream that is about to stop is closed
    Given a closure table in which the run of an upstream that started at 1000 is about to stop
    Then its run that started at <started> is <state>

    Examples:
      | started | state  |
      | 1000    | closed |
      | 1001    | open   |
      | 999     | open   |

  Scenario: An upstream that is about to stop stays closed when its entry expires and is registered again
    Given a gateway with two upstreams
    And upstream one is about to stop and its answers are none
    When upstream one's entry is removed and registered again after it has said that it is about to stop
    Then upstream one got no request after its answer

  Scenario: An upstream that has started again gets requests
    Given a gateway with two upstreams
    And upstream one is about to stop and its answers are none
    When upstream one starts again after it has said that it is about to stop
    Then upstream one got a request after its start

  Scenario: Another upstream at the address of an upstream does not close it
    Given a gateway with two upstreams
    And upstream one is about to stop and its address belongs to another upstream
    When callers request /safe/1 12 times
    Then no upstream is closed

  Scenario: A request that waits for its connection is not sent to an upstream that closes meanwhile
    Given a gateway with two upstreams
    When upstream one closes while a request for /unsafe/1 connects to it
    Then the caller gets 200 and upstream two ran the request

  Scenario Outline: The time that an overloaded upstream sets is read from its rejection
    When an upstream rejects a request with status <status> and Retry-After <value>
    Then it gets no requests for <span> s

    Examples:
      | status | value | span |
      | 503    | 2     | 2    |
      | 503    | 0.25  | 0.25 |
      | 503    | 0     | 0    |
      | 503    | -3    | 0    |
      | 503    | soon  | 0    |
      | 503    | nan   | 0    |
      | 503    | 1e9   | 3600 |
      | 503    | inf   | 3600 |
      | 429    | 2     | 0    |
      | 200    | 2     | 0    |

  Scenario Outline: An overloaded upstream gets no requests until the time that it has set: <path>
    Given a gateway with two upstreams
    And upstream one is overloaded and wants no requests for 1.5 s
    When callers send <path> for 3 s, 20 per second
    Then upstream one got at most 2 requests before the time was over, and further ones later
    And every caller got 200

    Examples:
      | path      |
      | /safe/1   |
      | /unsafe/1 |

  Scenario: A caller is told when the first overloaded upstream accepts requests again
    Given a gateway with two upstreams
    And both upstreams are overloaded and want no requests for 7 s and 9 s
    When callers send /unsafe/1 4 times
    Then the last caller gets 503 within 0.3 s and may retry after 5 s to 7 s

  Scenario: A request that can wait until an overloaded upstream accepts requests again is answered
    Given a gateway with two upstreams
    And both upstreams are overloaded and want no requests for 0.2 s and 9 s
    When callers send /stream/1 3 times
    Then every caller got 200

  Scenario Outline: A gateway that starts later learns of every upstream that is about to stop: <n> of them
    Given <n> upstreams have told a gateway that they are about to stop
    When a gateway that has started since gets <n_messages> of its messages
    Then it knows all of them

    Examples:
      | n   | n_messages |
      | 30  | 1          |
      | 300 | 5          |
