Feature: The timeline of a request is read from logs

  Scenario: A failed request with the log lines about its upstreams
    Given logs of two gateways about some requests
    When the timeline of request "r1" is read
    Then the timeline contains "upstream i-1: registered", "upstream i-1 suspended", "request ended: failed" in this order
    And the timeline contains no line of request "r2" and no message with "i-9"

  Scenario: A line that several gateways logged appears once, and the lines of the request's gateway appear
    Given logs of two gateways about some requests
    When the timeline of request "r1" is read
    Then the timeline contains "the store fails", "upstream i-1: registered", "request ended: failed" in this order
    And the timeline contains "upstream i-1: registered" once, with a count of 1 other process
    And the timeline contains no line of request "r2" and no message with "the store answers again"
    And the timeline contains no line of request "r2" and no message with "long ago"

  Scenario: A request that no log mentions
    Given logs of two gateways about some requests
    When the timeline of request "r9" is read
    Then the error is "request_not_found"

  Scenario: A missing log file
    Given a log that does not exist
    When the timeline of request "r1" is read
    Then the error is "bad_request"
