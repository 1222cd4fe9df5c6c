Feature: Metrics and logs report what happens and reveal no keys or prompts

  Scenario: An entry's metrics are labelled by customer and class
    Given an entry's metrics with the trial document at revision 7
    When 3 requests of "delta/coop-ke-sach" in class "sluice-order" take 0.2 s and cost 0.05
    Then metric "crocusvalve_request_seconds_count" of "delta/coop-ke-sach" is 3
    And metric "crocusvalve_request_cost_sum" of "delta/coop-ke-sach" is 0.15
    And metric "crocusvalve_config_revision" is 7

  Scenario: Unknown names do not add time series to the metrics
    Given an entry's metrics with the trial document at revision 7
    When 1000 requests of unknown customers, classes, upstreams and steps are counted
    Then at most 200 lines of metrics are rendered
    And metric "crocusvalve_request_seconds_count" of "other" is 1000

  Scenario: Customers removed from the document are removed from the metrics
    Given an entry's metrics with the trial document at revision 7
    When 1 requests of "sfax/archive" in class "handover-digest" take 9 s and cost 1
    And the document without member "sfax" is in force at revision 8
    Then no metric names "sfax/"

  Scenario: Refusals, load, outbox and violations are counted
    Given an entry's metrics with the trial document at revision 7
    When a refusal, an upstream's load, an outbox of 5 and a violation are recorded
    Then the rendered metrics contain
      | line                                                            |
      | crocusvalve_refusals_total{code="rate_limited",ran="not_run"} 1 |
      | crocusvalve_upstream_in_flight{upstream="delta/assess-1"} 4     |
      | crocusvalve_upstream_limit{upstream="delta/assess-1"} 16        |
      | crocusvalve_outbox_records 5                                    |
      | crocusvalve_invariant_violations_total{step="claim"} 1          |

  Scenario: An agent's metrics show load and state
    Given an agent's metrics
    When the agent records its load and an ended attempt
    Then the rendered metrics contain
      | line                                              |
      | crocusvalve_agent_in_flight 2                     |
      | crocusvalve_agent_limit 8                         |
      | crocusvalve_agent_upstream_state{state="warm"} 1  |
      | crocusvalve_agent_upstream_state{state="cold"} 0  |
      | crocusvalve_agent_attempts_total{state="done"} 1  |
      | crocusvalve_agent_service_seconds_count 1         |

  Scenario Outline: Each log line contains the context of its task
    Given a log in <format> format
    When two tasks log concurrently, each in its own context
    Then each line contains only its own request, customer, class, step and peer

    Examples:
      | format |
      | json   |
      | text   |

  Scenario Outline: No key and no prompt is logged
    Given a log in <format> format
    When <content> is logged
    Then the log is not empty and does not contain "s3cretPromptText"

    Examples:
      | format | content                          |
      | text   | a bearer header                  |
      | json   | a bearer header                  |
      | text   | a key as a setting               |
      | json   | a generated key                  |
      | text   | a demo key                       |
      | text   | a registered secret              |
      | json   | the bytes of a body              |
      | text   | a request message                |
      | json   | a dictionary                     |
      | text   | a JSON text                      |
      | text   | a long text                      |
      | json   | an error of a library            |
      | text   | an error of a library            |
      | text   | an error as an argument          |
      | text   | an object as the message         |
      | text   | a wrong format                   |
      | json   | a peer that is a key             |
      | text   | a library's debug line           |
