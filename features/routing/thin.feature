Feature: Routing in its thinnest form

  Scenario Outline: Every router places a request on an open upstream
    Given two open upstreams and router "<router>"
    When a request is placed 10 times
    Then every placement passes its check
    And a draining upstream is never chosen

    Examples:
      | router          |
      | expected_wait   |
      | least_in_flight |
      | random          |
      | round_robin     |
