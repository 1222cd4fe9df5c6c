Feature: TLS for callers and between processes

  Scenario: All connections of callers and processes run over TLS
    Given the same cluster of processes with TLS for callers and between the processes
    When a chat request is sent to entry 0
    And a streamed chat request is sent to entry 1
    Then all were answered completely
    And a caller without TLS is not answered
    And the metrics of entry 0 count 1 answered request
