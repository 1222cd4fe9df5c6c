Feature: The retry policy decides what follows a refused or failed attempt

  Scenario Outline: The decision depends on the kind of request, the error and the progress
    Given a <kind> request with <frames> frames sent, <attempts> attempts and <left> s left
    When an attempt ends with <code> and execution status <ran>
    Then the decision is <decision>

    Examples: the attempt has not run
      | kind    | frames | attempts | left | code              | ran     | decision              |
      | lookup  | 0      | 1        | 10   | UPSTREAM_FULL     | not_run | redirect              |
      | answer  | 0      | 1        | 10   | DRAINING          | not_run | redirect              |
      | answer  | 0      | 9        | 10   | DOMAIN_OUT        | not_run | redirect              |
      | order   | 0      | 1        | 10   | UPSTREAM_FULL     | not_run | redirect              |
      | order   | 0      | 1        | 10   | STALE_BOOT        | not_run | redirect              |
      | service | 0      | 1        | 10   | UPSTREAM_DOWN     | not_run | redirect              |
      | durable | 0      | 1        | 10   | UPSTREAM_DOWN     | not_run | redirect              |
      | answer  | 0      | 1        | 10   | VERSION_WITHDRAWN | not_run | redirect to a version |
      | session | 0      | 1        | 10   | VERSION_WITHDRAWN | not_run | refuse, not_run       |
      | answer  | 0      | 1        | 0.01 | UPSTREAM_FULL     | not_run | refuse, not_run       |

    Examples: the attempt ran or may have run, before the first frame
      | kind    | frames | attempts | left | code            | ran     | decision                 |
      | lookup  | 0      | 1        | 10   | UPSTREAM_FAILED | ran     | retry                    |
      | answer  | 0      | 1        | 10   | UPSTREAM_DOWN   | unknown | retry                    |
      | answer  | 0      | 3        | 10   | UPSTREAM_FAILED | ran     | refuse, ran              |
      | answer  | 0      | 1        | 0.02 | UPSTREAM_FAILED | ran     | refuse, ran              |
      | durable | 0      | 9        | 9000 | UPSTREAM_FAILED | ran     | retry                    |
      | order   | 0      | 1        | 10   | UPSTREAM_FAILED | ran     | refuse, ran              |
      | order   | 0      | 1        | 10   | UPSTREAM_DOWN   | unknown | outcome_unknown, unknown |
      | order   | 0      | 1        | 10   | UPSTREAM_FULL   | unknown | outcome_unknown, unknown |
      | service | 0      | 1        | 10   | UPSTREAM_DOWN   | unknown | outcome_unknown, unknown |

    Examples: after the first frame
      | kind   | frames | attempts | left | code            | ran     | decision    |
      | answer | 3      | 1        | 10   | UPSTREAM_DOWN   | unknown | resume      |
      | lookup | 3      | 1        | 10   | UPSTREAM_FAILED | ran     | resume      |
      | answer | 3      | 1        | 10   | STALE_BOOT      | not_run | refuse, ran |
      | answer | 3      | 1        | 10   | UPSTREAM_FULL   | not_run | resume      |
      | answer | 3      | 1        | 10   | ANSWER_DAMAGED  | ran     | refuse, ran |
      | answer | 3      | 1        | 0.01 | UPSTREAM_DOWN   | unknown | refuse, ran |

    Examples: errors that another upstream can't resolve, and an unknown error
      | kind    | frames | attempts | left | code              | ran     | decision        |
      | answer  | 0      | 1        | 10   | BAD_REQUEST       | not_run | refuse, not_run |
      | lookup  | 0      | 1        | 10   | CRASHES_UPSTREAMS | ran     | refuse, ran     |
      | durable | 0      | 1        | 10   | MODEL_NOT_ALLOWED | not_run | refuse, not_run |
      | answer  | 0      | 1        | 10   | no_such_code      | unknown | retry           |

  Scenario: A stream whose upstream crashed isn't resumed
    Given a answer request with 3 frames sent, 1 attempts and 10 s left
    When its upstream crashes
    Then the decision is refuse, ran

  Scenario: The numbers of redirects and resumes are bounded
    Given a answer request with 0 frames sent, 1 attempts and 9000 s left
    Then at most 32 attempts in a row that end with UPSTREAM_FULL are redirected
    And at most 8 interruptions in a row of a stream are resumed

  Scenario: An accepted durable request is redirected as long as its deadline allows
    Given a durable request with 0 frames sent, 1 attempts and 9000 s left
    Then 200 attempts in a row that end with UPSTREAM_FULL are all redirected

  Scenario Outline: The backoff doubles up to its limit and is randomised
    Then the delay after <n> attempts is from <low> to <high> s

    Examples:
      | n  | low  | high |
      | 1  | 0.05 | 0.1  |
      | 2  | 0.1  | 0.2  |
      | 4  | 0.4  | 0.8  |
      | 99 | 1    | 2    |

  Scenario: Retries don't amplify an outage
    Given a member with a retry budget of 0.1 that sends 10000 requests in 100 s
    When every attempt fails
    Then attempts are at most 1.11 times the requests
    And another member's first retry is granted

  Scenario: An accepted durable request without budget is retried after the longest delay
    Given a durable request whose member has no retry budget left
    When an attempt ends with UPSTREAM_FAILED and execution status ran
    Then it is retried after 60 s
