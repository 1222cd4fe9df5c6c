Feature: Kills, freezes and outages between separate processes

  Background:
    Given two entries, four agents, their upstreams and the platform as processes

  Scenario: An order whose agent is frozen past the deadline never runs late
    Given only upstream "plain-0" serves the gates
    When its agent is frozen
    And an order with key "sluice-1" and a deadline of 8000 ms is sent to entry 0
    Then it is refused and told as not run or unknown
    When its agent goes on and both entries hear of it
    Then the gates have not run key "sluice-1"
    When a repeat of key "sluice-1" is sent to entry 1 until it is settled
    Then the gates ran key "sluice-1" at most once

  Scenario: An order whose agent is killed while it runs is not run again
    Given only upstream "plain-0" serves the gates
    And the gates hang after they have run an order
    When an order with key "sluice-2" is sent to entry 0 and its agent is killed once it runs
    Then it is refused with code "outcome_unknown" and "unknown"
    When its agent is started again
    And a repeat of key "sluice-2" is sent to entry 1 until it is settled
    Then the gates ran key "sluice-2" exactly once

  Scenario: An order whose entry is killed while it runs is answered from its agent
    Given the gates take 1 s
    When an order with key "sluice-3" is sent to entry 0 and entry 0 is killed once it runs
    And a repeat of key "sluice-3" is sent to entry 1 until it is settled
    Then it is answered
    And the gates ran key "sluice-3" exactly once

  Scenario: A durable request whose entry is killed is finished by another entry
    Given the engines are slow
    When a durable request with key "assess-2" is sent to entry 0 and entry 0 is killed at once
    Then entry 1 has the answer in the end
    And the usage of the member shows 1 request in the end

  Scenario: The bill of a killed entry is flushed by another entry
    When a chat request is sent to entry 0
    And entry 0 is killed
    Then the usage of the member shows 1 request in the end

  Scenario: A request that crashes engines is refused for good
    Given the engines crash under the text "poison pill"
    When a chat request with the text "poison pill" is sent to entry 0 until it is refused for good
    Then entry 1 refuses it with code "crashes_upstreams" in the end
    And the engines crashed 2 times at most
    And a chat request with another text is answered in the end

  Scenario: A killed upstream comes back cold and bears only light load
    When engine 0 is killed and started cold
    Then its agent's limit falls to the cold limit in the end

  Scenario: A bad version is withdrawn by itself though the controller is killed
    Given the engines answer badly with version "v2"
    When a roll-out of version "v2" is started
    And chat requests are sent until version "v2" has answered 1 of them
    And the entry that holds the controller's lease is killed
    Then chat requests are sent to the other entry until version "v2" is withdrawn
    And from then on no chat request is answered by version "v2"
