Feature: Dozens of gateways know each other though each one hears from few at a time

  Scenario Outline: Each gateway knows which others are alive
    Given <n> gateways that each send to 6 others every 0.4 s, of which 1 datagram in 50 is lost
    When they gossip for 10 s
    Then each one knows at least 98 in 100 of the others

    Examples:
      | n   |
      | 6   |
      | 29  |
      | 68  |
      | 120 |

  Scenario: A gateway that has stopped is forgotten by all within 6 s
    Given 68 gateways that each send to 6 others every 0.4 s, of which 1 datagram in 50 is lost
    When they run for 10 s and one of them is killed
    Then no gateway knows it 6 s later

  Scenario: All gateways together respect the limit of a cold upstream though each hears from few
    Given 68 gateways that each send to 6 others every 0.4 s, of which 1 datagram in 50 is lost
    When they gossip for 10 s
    Then together they may send at most 8 requests per second to a cold upstream that can handle 5.9
