Feature: A request that has crashed three upstreams is refused by every gateway

  Scenario Outline: Crashes that different gateways see are counted by all of them, whatever else crashes: <n> gateways, <rate> lost requests per second
    Given <n> gateways that know 30 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When for 20 s <rate> sound requests per second are lost in crashes, and each second another request crashes its third upstream within 3 s
    Then each of these requests is refused by every gateway <contact> s after its third crash

    Examples:
      | n  | rate | contact |
      | 4  | 1    | 3       |
      | 4  | 10   | 3       |
      | 4  | 100  | 3       |
      | 24 | 30   | 4       |
      | 68 | 10   | 5       |
      | 68 | 60   | 5       |

  Scenario Outline: A gateway that <event> learns of all requests that are refused
    Given <n> gateways that know 0 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When <n_banned> requests crash three upstreams each while one gateway <event>
    Then within <bound> s it refuses all of them

    Examples:
      | n  | event          | n_banned | bound |
      | 4  | is cut off     | 40       | 3     |
      | 4  | hasn't started | 40       | 3     |
      | 4  | hasn't started | 400      | 8     |
      | 68 | is cut off     | 40       | 5     |
      | 68 | hasn't started | 100      | 5     |

  Scenario: Sound requests that are lost in crashes don't displace one that is refused
    Given 1 gateways that know 0 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When a request crashes three upstreams and 20000 sound requests are lost in later crashes
    Then the request is refused

  Scenario: Gateways that know the same crashes stop reporting them
    Given 4 gateways that know 30 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When 30 s pass without a crash
    Then no message reports a crash
