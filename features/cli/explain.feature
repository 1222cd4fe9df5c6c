Feature: The story of a request is told from logs

  Scenario: A failed request with what was believed of its upstreams
    Given logs of two gateways about some requests
    When the story of request "r1" is read
    Then it tells "upstream i-1: registered", "upstream i-1 suspended", "request ended: failed" in this order
    And it tells nothing of request "r2" and upstream "i-9"

  Scenario: What all gateways wrote is told once, and what the request's own one believed is told
    Given logs of two gateways about some requests
    When the story of request "r1" is read
    Then it tells "the store fails", "upstream i-1: registered", "request ended: failed" in this order
    And it tells "upstream i-1: registered" once, for 1 other process as well
    And it tells nothing of request "r2" and upstream "the store answers again"
    And it tells nothing of request "r2" and upstream "long ago"

  Scenario: A request of which no log tells
    Given logs of two gateways about some requests
    When the story of request "r9" is read
    Then the error is "request_not_found"

  Scenario: A log that is missing
    Given a log that does not exist
    When the story of request "r1" is read
    Then the error is "bad_request"
