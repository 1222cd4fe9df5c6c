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
    Then upstream one gets at least 15 requests in the last 2 s

  Scenario: A stream isn't resumed at an upstream beyond its limit
    Given a gateway with two upstreams
    And upstream one takes 1 requests per second
    When for 5 s 6 callers per second open streams that upstream two interrupts
    Then upstream one never gets more than 11 requests in 4 s once it has named its limit
