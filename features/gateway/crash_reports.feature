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

  # Guards against the permanent refusal of a sound request that is polled while upstreams crash.
  Scenario Outline: A sound request that is open in many crashes isn't refused: <n> gateways, an answer every <pause> s
    Given <n> gateways that know 30 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When for 40 s an upstream crashes every 2.8 s under a request that is answered every <pause> s
    Then no gateway has refused the request

    Examples:
      | n  | pause |
      | 1  | 2.5   |
      | 4  | 0.3   |
      | 4  | 2.5   |
      | 24 | 0.3   |
      | 68 | 0.3   |

  # Guards against a ban that some gateways keep after an answer has shown that the request is sound.
  Scenario Outline: An answer ends the ban of a request at every gateway, also at one that was cut off: <n> gateways
    Given <n> gateways that know 0 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When a request that all gateways refuse is answered at one of them while another one is cut off
    Then within <bound> s no gateway refuses it

    Examples:
      | n  | bound |
      | 4  | 3     |
      | 24 | 4     |
      | 68 | 5     |

  # Guards against a request that crashes upstreams and isn't recognised, since a sound one is cleared.
  Scenario: An answer clears only the request that was answered
    Given 4 gateways that know 0 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When two requests are lost in the same 3 crashes and one of them is answered after each
    Then every gateway refuses the other one and none the answered one

  # Guards against a registry that grows with the number of answered requests.
  Scenario: The answered requests of a busy gateway are remembered within a bound
    Given 1 gateways that know 0 earlier crashes and gossip every 0.4 s, of which 1 datagram in 30 is lost
    When 20000 different requests are answered within 5 s
    Then at most 4096 of them are remembered, among them the last one
