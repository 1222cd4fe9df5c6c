Feature: A durable request is stored, run by one entry at a time, and ends exactly once

  Background:
    Given two entries that share one platform

  Scenario Outline: An accepted request ends exactly once under any fault of the store, with a body of <size> bytes
    Given a body of <size> bytes
    When the fault "<fault at accept>" begins
    And entry a accepts a durable request
    And the fault "<fault at finish>" begins
    And the upstreams answer
    And 20 s pass
    And the fault ends
    And 20 s pass
    Then entry a accepted the request
    And the request is done, ended once, with <n> execution(s)
    And every execution received the complete body

    Examples:
      | size  | fault at accept | fault at finish  | n |
      | 10    | none            | none             | 1 |
      | 40000 | none            | none             | 1 |
      | 10    | answer lost     | none             | 1 |
      | 10    | request lost    | none             | 1 |
      | 10    | all answers lost | none            | 1 |
      | 10    | none            | store down       | 1 |
      | 40000 | none            | store down       | 1 |
      | 10    | none            | store too slow   | 1 |
      | 10    | none            | answer lost      | 1 |
      | 10    | none            | request lost     | 1 |
      | 10    | none            | all answers lost | 1 |

  Scenario Outline: A refusal states whether the request may have been accepted: <fault>
    When the fault "<fault>" begins
    And entry a accepts a durable request
    And the fault ends
    And the upstreams answer
    And 20 s pass
    Then entry a refuses with "<code>" and reports the execution status "<ran>"
    And <n> request(s) ended

    Examples:
      | fault                  | code            | ran     | n |
      | store down             | platform_down   | not_run | 0 |
      | store too slow         | outcome_unknown | unknown | 0 |
      | answer lost, then down | outcome_unknown | unknown | 1 |

  Scenario Outline: A concurrent repeat through another entry is the same request: <fault>
    When the fault "<fault>" begins
    And entries a and b accept the same request concurrently
    And the fault ends
    And the upstreams answer
    And 20 s pass
    Then exactly one entry accepts it as new
    And the request is done, ended once, with 1 execution(s)

    Examples:
      | fault            |
      | none             |
      | answer lost      |
      | request lost     |
      | all answers lost |
      | store slow       |

  Scenario: A different body under the same request id is refused
    When entry a accepts a durable request
    And entry a receives a different body under the same request id
    Then entry a refuses with "idempotency_key_reused" and reports the execution status "not_run"

  Scenario Outline: Another entry takes over a request when its entry <event>
    When entry a accepts a durable request
    And 1 s pass
    And entry a <event>
    And <wait> s pass
    And the upstreams answer
    And 1 s pass
    Then the request is done, ended once, with 2 execution(s)
    And its answer is "by b"

    Examples:
      | event                          | wait |
      | is killed                      | 15   |
      | stops                          | 5    |
      | is disconnected from the store | 18   |

  Scenario: The late answer of an entry that lost its lease is discarded
    When entry a accepts a durable request
    And 1 s pass
    And entry a is paused
    And 18 s pass
    And the upstream of entry a answers
    And 1 s pass
    And the upstreams answer
    And 1 s pass
    Then the request is done, ended once, with 2 execution(s)
    And its answer is "by b"

  Scenario: A refused execution is retried
    When the upstreams refuse 3 times, then answer
    And entry a accepts a durable request
    And 20 s pass
    Then the request is done, ended once, with 4 execution(s)

  Scenario: An unexpected error of one execution stops no other work, and the request is claimed again
    When the execution at entry a raises an unexpected error once, then the upstreams answer
    And entry a accepts a durable request
    And 20 s pass
    Then the request is done, ended once, with 2 execution(s)

  Scenario: A request whose body is missing from the object store ends as failed at its deadline
    Given a body of 40000 bytes
    When entry a accepts a durable request
    And 1 s pass
    And entry a is killed
    And the body is deleted from the object store
    And 120 s pass
    Then the request is failed, ended once, with 1 execution(s)
    And its error is "deadline_passed"

  Scenario Outline: The alarm is raised once before the deadline when the request's entry <event>
    When entry a accepts a durable request
    And 1 s pass
    And entry a <event>
    And <wait> s pass
    Then the request is still open and entry <alarmed> has 1 alarm(s)

    Examples:
      | event          | wait | alarmed |
      | keeps running  | 70   | a       |
      | is killed      | 70   | b       |

  Scenario Outline: A request past its deadline ends as failed when its entry <event>
    When entry a accepts a durable request
    And 1 s pass
    And entry a <event>
    And 110 s pass
    Then the request is failed, ended once, with <n> execution(s)
    And its error is "deadline_passed"

    Examples:
      | event                          | n |
      | keeps running                  | 1 |
      | is killed                      | 2 |
      | is disconnected from the store | 2 |
