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

  Scenario: A summary of how requests ended, by route, with what happened to their attempts
    Given a log with requests of two routes that ended in several ways
    When the log is summarized
    Then route "dossier" has 4 requests, 9 attempts and the ends "answered" 2, "failed deadline_passed" 1, "refused no_upstream" 1
    And route "dossier" has the events "no event within N s" 2, "confidence N after N s" 1, "waited for an upstream" 1
    And the times to the first event of route "dossier" are 400 ms and 400 ms
    And route "-" has 1 requests, 0 attempts and the ends "refused not_found" 1

  Scenario: The causes for which answers weren't in time add up to these answers
    Given a log with late answers: waited 900 ms, small model 700 ms, lost attempts 800 ms, reading 900 ms, queue 1200 ms
    When the log is summarized with a plot
    Then route "dossier" has one request each with the causes "waited for an upstream", "a smaller model was asked first", "attempts lost, silent or rejected", "reading expected to take so long", "queue at the upstream longer than expected"
    And one that failed, and none that was answered within its goal

  Scenario: A summary of a part of the time
    Given a log with requests of two routes that ended in several ways
    When the log is summarized from "2026-01-01T00:00:03" until "2026-01-01T00:00:05"
    Then route "dossier" has 1 requests, 2 attempts and the ends "failed deadline_passed" 1
