Feature: The stand-in engine and plain service answer over HTTP

  Scenario: An engine answers plainly and as a stream with the same text
    Given a served engine with version "delta/assess@v1"
    When a plain completion of 12 tokens is asked for "soil level at probe seven"
    And a streamed completion of 12 tokens is asked for "soil level at probe seven"
    Then both answers have the same text and 12 completion tokens
    And the stream ends with "[DONE]"

  Scenario Outline: A fault switch changes what the engine answers
    Given a served engine with version "delta/assess@v1"
    When the engine is told <faults>
    Then a streamed completion ends <end> with status <status>

    Examples:
      | faults                      | end   | status |
      | {"truncate_after": 3}       | short | 200    |
      | {"crash_text": "soil"}      | short | 200    |
      | {"is_down": true}           | short | 503    |
      | {"slow_factor": 1.5}        | whole | 200    |

  Scenario Outline: An old order is refused only where the engine honours the number
    Given a served engine with version "delta/assess@v1"
    When the engine is told {"honours_fencing": <honours>}
    And it takes a load order numbered 5
    Then a load order numbered 4 gets status <status>

    Examples:
      | honours | status |
      | true    | 409    |
      | false   | 200    |

  Scenario: A plain service counts an effect whose answer was lost
    Given a served plain service that loses 1 answer
    When the same order is posted twice with key "k1"
    Then the statuses are 502 and 200
    And key "k1" ran 2 times

  Scenario Outline: A stand-in started as a process says where it listens and stops on SIGTERM
    Given a process of the stand-in "<call>"
    Then it prints its address, and SIGTERM ends it with status 0

    Examples:
      | call                                   |
      | run_engine(versions=["delta/a@v1"])    |
      | run_plain()                            |
      | run_platform()                         |
