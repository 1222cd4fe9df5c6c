Feature: Store outages, concurrent changes by operators and planned stops

  Background:
    Given a cluster of two entries, four agents, their upstreams and the platform as separate processes

  Scenario: While the store is unavailable chat requests and lookups are answered and the rest is refused as not run
    When the store is unavailable
    Then a chat request is answered at entry 0
    And a lookup is answered at entry 1
    And an order with key "sluice-4" is refused as not run with a Retry-After time
    And a durable request is refused as not run with a Retry-After time
    And a durable request that prefers to wait is answered on its connection
    When failure domain "south" is taken out of service at entry 0
    Then the change is accepted and distributed by notice
    And entry 1 eventually sends no work to failure domain "south"
    When the store is available again
    Then the configuration document eventually has failure domain "south" out of service
    And the member's usage eventually counts at least 3 requests

  Scenario: An entry that starts while the store is unavailable loads the configuration from its peers
    When entry 0 is killed
    And the store is unavailable
    And entry 0 is started
    Then a chat request is eventually answered at entry 0

  Scenario: Two operators publish on the same revision concurrently
    When two operators publish changes of the same revision at the same time
    Then one is accepted and the other is refused as in conflict with the newer revision
    And both entries eventually have the accepted revision

  Scenario: An entry that is stopped during a stream finishes it
    Given the engines are slow
    When entry 0 is stopped by SIGTERM during a streamed chat request
    Then the stream is complete
    And the entry has exited with code 0
    And the member's usage eventually counts 1 request

  Scenario: An entry that is stopped refuses a request that it has read in part
    When entry 0 is stopped by SIGTERM and the rest of a chat request arrives 0.5 s later
    Then the chat request is refused as not run
    And the entry has exited with code 0

  Scenario: An agent that is stopped during a stream finishes it and accepts no new work
    Given the engines are slow
    When the agent of a streamed chat request is stopped by SIGTERM
    Then the stream is complete
    And new chat requests are answered by the other engine
    And the agent has exited with code 0

  Scenario: An unmodified OpenAI client library works with an entry
    Then the library lists models, gets an answer, streams and raises an error with a code at entry 0
