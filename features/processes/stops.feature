Feature: Store outages, racing operators and planned stops

  Background:
    Given two entries, four agents, their upstreams and the platform as processes

  Scenario: While the store is down lookups and answers go on and the rest is refused truthfully
    When the store is down
    Then a chat request is answered at entry 0
    And a lookup is answered at entry 1
    And an order with key "sluice-4" is refused as not run with a time to come back
    And a durable request is refused as not run with a time to come back
    And a durable request that may wait is answered on its connection
    When failure domain "south" is taken out at entry 0
    Then the change is accepted by notice
    And no work reaches failure domain "south" at entry 1 in the end
    When the store is up again
    Then the document has failure domain "south" out in the end
    And the usage of the member shows 3 requests or more in the end

  Scenario: A process that starts while the store is down takes the configuration from its peers
    When entry 0 is killed
    And the store is down
    And entry 0 is started
    Then a chat request is answered at entry 0 in the end

  Scenario: Two operators race
    When two operators publish at once on the same revision
    Then one is accepted and one is told of the conflict with the newer revision
    And both entries have the accepted revision in the end

  Scenario: An entry that is stopped during a stream finishes it
    Given the engines are slow
    When entry 0 is stopped by SIGTERM during a streamed chat request
    Then the stream is whole
    And the entry has exited with code 0
    And the usage of the member shows 1 request in the end

  Scenario: An agent that is stopped during a stream finishes it and takes no new work
    Given the engines are slow
    When the agent of a streamed chat request is stopped by SIGTERM
    Then the stream is whole
    And new chat requests are answered by the other engine
    And the agent has exited with code 0

  Scenario: An unmodified OpenAI client library
    Then the library lists models, answers, streams and raises a coded error at entry 0
