Feature: An upstream gets no more requests than the rate that it has named

  Scenario Outline: A named limit holds for the sum over gateways, and others serve the callers: <path>
    Given a gateway with two upstreams
    And upstream one takes <rate> requests per second
    When for 7 s 15 callers per second send <path>, to two gateways in turn
    Then upstream one never gets more than <bound> requests in 4 s once it has named its limit
    And every caller got 200

    Examples:
      | path      | rate | bound |
      | /safe/1   | 1    | 11    |
      | /unsafe/1 | 1.3  | 12    |
      | /stream/1 | 1    | 11    |
      | /unsafe/1 | 4    | 29    |

  Scenario: Callers that no upstream may take are refused at once with a true time to return
    Given a gateway with two upstreams
    And upstream one takes 0.5 requests per second
    And upstream two takes 0.5 requests per second
    When 10 callers per second send /unsafe/1 to one gateway for 4 s
    Then no upstream gets more than 8 requests in 4 s once it has named its limit
    And callers are refused within 0.2 s, and one that returns when told to is served

  Scenario: An upstream whose answers don't name a limit any more gets as many requests as before
    Given a gateway with two upstreams
    And upstream one takes 1 requests per second
    When 15 callers per second send /unsafe/1 to one gateway, 3 s before and 3 s after the limit ends
    Then upstream one gets at least 10 requests in some second after that

  Scenario: A stream isn't resumed at an upstream beyond its limit
    Given a gateway with two upstreams
    And upstream one takes 1 requests per second
    When for 5 s 6 callers per second open streams that upstream two interrupts
    Then upstream one never gets more than 11 requests in 4 s once it has named its limit

  Scenario Outline: The shares of many gateways keep to a limit, and use it: <n> gateways, <rate> a second, <event>
    Given <n> gateways with uneven load and an upstream that takes <rate> requests per second
    When they want to send it <wanted> requests per second for 40 s, <event>
    Then it gets at most one and a half times its limit and 5 requests in any 4 s
    And it gets at least half of the requests that it takes

    Examples:
      | n  | rate | wanted | event                             |
      | 1  | 1.0  | 20     | and nothing else happens          |
      | 4  | 1.0  | 20     | and nothing else happens          |
      | 4  | 1.3  | 20     | and one after the other restarts  |
      | 4  | 1.0  | 20     | and one is cut off for 10 s       |
      | 4  | 3.0  | 20     | and the load moves to one of them |
      | 7  | 1.0  | 20     | and nothing else happens          |
      | 24 | 1.5  | 60     | and one after the other restarts  |
      | 24 | 10   | 60     | and the load moves to one of them |
      | 68 | 1.0  | 200    | and nothing else happens          |
      | 68 | 20   | 200    | and one after the other restarts  |

  Scenario Outline: The limit is read from an answer's header
    When an upstream's answer names the limit <value>
    Then the limit is read as <limit>

    Examples:
      | value | limit |
      | 1.3   | 1.3   |
      | 2     | 2.0   |
      | 0     | 0.0   |
      | -1    | None  |
      | soon  | None  |
      | nan   | None  |
      | inf   | None  |

  Scenario Outline: Of two answers the later one holds, whichever gateway got it
    Given a gateway knows by an answer 1.0 s ago that an upstream takes <known> requests per second
    When a peer reports <reported> by an answer <age> s ago
    Then the limit is <result>

    Examples:
      | known | reported | age | result |
      | 1.0   | 2.0      | 0.5 | 2.0    |
      | 1.0   | 2.0      | 1.5 | 1.0    |
      | 1.0   | no limit | 0.5 | None   |
      | 1.0   | no limit | 1.5 | 1.0    |

  Scenario: A gateway that starts later learns of the limits from its peers
    Given 100 upstreams have named limits to a gateway
    When a gateway that has started since gets 20 messages of that one
    Then it knows all of the limits

  Scenario: Another upstream at the address of an upstream does not name a limit for it
    Given a gateway with two upstreams
    And upstream one takes 1 requests per second
    And the address of upstream one belongs to another upstream
    When callers request /safe/1 12 times
    Then no upstream has a limit

  Scenario: Callers that are told to return get times of their own, and find an upstream then
    Given a service whose upstreams take a request every 2 s, the next one in 1 s
    When 4 callers come at 0.0 s
    Then they are told to return at 1.0, 3.0, 5.0 and 7.0 s
    And a further caller that comes at 3.5 s is not served before them
    And the one that returns at 5.0 s is served
    And one that comes at 20.0 s is served
