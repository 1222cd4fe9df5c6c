Feature: Kills, freezes and outages of separate processes

  Background:
    Given a cluster of two entries, four agents, their upstreams and the platform as separate processes

  Scenario: An order whose agent is frozen past the deadline never runs late
    Given only upstream "plain-0" serves the gates service
    When its agent is frozen by SIGSTOP
    And an order with key "sluice-1" and a deadline of 8000 ms is sent to entry 0
    Then it is refused with the execution status not_run or unknown
    When its agent is resumed by SIGCONT and both entries have a new report from it
    Then the gates service has not run the order with key "sluice-1"
    When the order with key "sluice-1" is repeated at entry 1 until it succeeds or its outcome is unknown
    Then the gates service has run the order with key "sluice-1" at most once

  Scenario: An order whose agent is killed while it runs is not run again
    Given only upstream "plain-0" serves the gates service
    And the gates service hangs after it has run an order
    When an order with key "sluice-2" is sent to entry 0 and its agent is killed once it runs
    Then it is refused with code "outcome_unknown" and execution status "unknown"
    When its agent is started again
    And the order with key "sluice-2" is repeated at entry 1 until it succeeds or its outcome is unknown
    Then the gates service has run the order with key "sluice-2" exactly once

  Scenario: An order whose entry is killed while it runs is answered from its agent when repeated
    Given the gates service takes 1 s to run an order
    When an order with key "sluice-3" is sent to entry 0 and entry 0 is killed once it runs
    And the order with key "sluice-3" is repeated at entry 1 until it succeeds or its outcome is unknown
    Then the repeated order is answered
    And the gates service has run the order with key "sluice-3" exactly once

  Scenario: A durable request whose entry is killed is finished by another entry
    Given the engines are slow
    When a durable request with key "assess-2" is accepted by entry 0 and entry 0 is killed at once
    Then entry 1 eventually returns the answer
    And the member's usage eventually counts 1 request

  Scenario: The undelivered bill of a killed entry is flushed by another entry
    When a chat request is sent to entry 0
    And entry 0 is killed
    Then the member's usage eventually counts 1 request

  Scenario: A request that crashes engines is refused permanently
    Given the engines crash on requests that contain the text "poison pill"
    When a chat request with the text "poison pill" is sent to entry 0 until it is refused permanently
    Then entry 1 eventually refuses it with code "crashes_upstreams"
    And the engines have crashed at most 2 times
    And a chat request with another text is eventually answered

  Scenario: An upstream that restarts cold after a kill is limited to light load
    When engine 0 is killed and started cold
    Then the concurrency limit of its agent eventually falls to the cold limit

  Scenario: A bad version is withdrawn automatically even if the controller of the roll-out is killed
    Given the engines answer at low quality with version "v2"
    When a roll-out of version "v2" is started
    And chat requests are sent until version "v2" has answered 1 of them
    And the entry that holds the controller's lease is killed
    Then chat requests are sent to the other entry until version "v2" is withdrawn
    And from then on no chat request is answered by version "v2"
