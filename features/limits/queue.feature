Feature: Requests wait in a fair and bounded queue

  Scenario: The highest priority is served first, and the lowest at least once in eight
    Given 40 URGENT requests of "a", 40 NORMAL of "b" and 40 BATCH of "c"
    When 32 requests are taken
    Then 28 are of "a", 0 of "b" and 4 of "c"

  Scenario Outline: Customers are served by weight
    Given 100 requests of "a" with weight <a>, then 100 of "b" with weight <b>
    When <n> requests are taken
    Then <n_a> are of "a", <n_b> of "b" and 0 of "c"

    Examples:
      | a | b | n  | n_a | n_b |
      | 1 | 1 | 40 | 20  | 20  |
      | 3 | 1 | 40 | 30  | 10  |
      | 1 | 4 | 50 | 10  | 40  |

  Scenario: A customer that joins late gains and loses nothing by its idle time
    Given 100 requests of "a" with weight 1, then 0 of "b" with weight 1
    When 50 requests are taken
    And 50 requests of "b" join
    And 20 requests are taken
    Then 60 are of "a", 10 of "b" and 0 of "c"

  Scenario: A target without a free upstream doesn't block another target
    Given 10 requests of "a" for each of the models "d/busy" and "d/free"
    When only "d/free" has a free upstream and 20 requests are taken
    Then 10 requests for "d/free" were taken and 10 are still queued

  Scenario Outline: A request is served between its earliest start and its deadline
    Given a queued request that <condition>
    Then at <instant> s it is <outcome>

    Examples:
      | condition                | instant | outcome |
      | has its deadline at 5 s  | 4.9     | placed  |
      | has its deadline at 5 s  | 5       | expired |
      | may start at 2 s         | 1.9     | waiting |
      | may start at 2 s         | 2       | placed  |
      | is removed by its caller | 0       | gone    |

  Scenario Outline: A full queue refuses a request or drops another
    Given a queue for at most 10 requests per class with <n_a> requests of "a" and <n_b> of "b"
    When <customer> pushes a request that <condition>
    Then it is <outcome> and the customer that loses a request is <dropped>

    Examples:
      | n_a | n_b | customer | condition  | outcome | dropped |
      | 9   | 0   | a        | is new     | queued  | none    |
      | 10  | 0   | a        | is new     | refused | none    |
      | 10  | 0   | b        | is new     | queued  | a       |
      | 5   | 5   | b        | is new     | refused | none    |
      | 10  | 0   | a        | is durable | queued  | none    |
      | 10  | 0   | a        | is retried | queued  | none    |

  Scenario: One member's overload doesn't fill another member's queue
    Given a queue with at most 50 requests per member
    When member "rival" pushes 500 requests
    Then 450 are refused as not run
    And member "d" can push 50 requests

  Scenario Outline: Requests that can't meet their deadline are refused early
    Given a queue drained at 10 per second with <n> queued requests of "a"
    Then a <kind> request of "<customer>" with <left> s to its deadline is <outcome>

    Examples:
      | n  | kind    | customer | left | outcome                 |
      | 0  | answer  | a        | 1    | admitted                |
      | 50 | answer  | a        | 10   | admitted                |
      | 50 | answer  | a        | 2    | refused for about 3.5 s |
      | 50 | answer  | b        | 2    | admitted                |
      | 50 | durable | a        | 2    | admitted                |
      | 0  | answer  | a        | 0.2  | refused for about 0.3 s |

  Scenario Outline: A delayed request doesn't raise the wait estimate of the others
    Given a queue in which a request of "a" is delayed by <cause>
    When every 5 s for 50 s a request of "b" arrives and is taken immediately
    Then a request of "b" with 1 s to its deadline is admitted

    Examples:
      | cause                   |
      | its backoff             |
      | lack of a free upstream |
