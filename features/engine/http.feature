Feature: HTTP interfaces of the stand-in engine and the stand-in plain service

  Scenario: A plain and a streamed completion have the same text
    Given a served engine with version "delta/assess@v1"
    When a plain completion of 12 tokens is requested for "soil level at probe seven"
    And a streamed completion of 12 tokens is requested for "soil level at probe seven"
    Then both answers have the same text and 12 completion tokens
    And the stream ends with "[DONE]"

  Scenario Outline: A fault switch changes the engine's answers
    Given a served engine with version "delta/assess@v1"
    When the fault switches <faults> are set
    Then the answer to a streamed completion is <end> and has status <status>

    Examples:
      | faults                      | end   | status |
      | {"truncate_after": 3}       | short | 200    |
      | {"crash_text": "soil"}      | short | 200    |
      | {"is_down": true}           | short | 503    |
      | {"slow_factor": 1.5}        | whole | 200    |

  Scenario Outline: An outdated order is refused only if the engine honours fencing numbers
    Given a served engine with version "delta/assess@v1"
    When the fault switches {"honours_fencing": <honours>} are set
    And the engine receives a load order numbered 5
    Then a load order numbered 4 gets status <status>

    Examples:
      | honours | status |
      | true    | 409    |
      | false   | 200    |

  Scenario: A plain service counts an execution whose answer was lost
    Given a served plain service that loses 1 answer
    When the same request is posted twice with key "k1"
    Then the statuses are 502 and 200
    And key "k1" was executed 2 times

  Scenario Outline: A stand-in started as a process prints its address and stops on SIGTERM
    Given a process that runs the stand-in "<call>"
    Then it prints its address, and SIGTERM ends it with status 0

    Examples:
      | call                                   |
      | run_engine(versions=["delta/a@v1"])    |
      | run_plain()                            |
      | run_platform()                         |
