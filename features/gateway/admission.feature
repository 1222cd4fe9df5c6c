Feature: Requests that can't be sent at once wait in one queue per service, which decides their order

  Scenario Outline: Callers get more answers in time than if each request searched for itself: <load>
    Given callers send <load>
    When it meets a gateway with the queue, and one where each request searches for itself
    Then at least <urgent> of the urgent and <all> of all callers are answered in time, more than without the queue
    And at most <sends> requests are sent for each caller, fewer than without the queue
    And no request is refused while a place is free, and none is left in the queue

    Examples:
      | load                                             | urgent | all  | sends |
      | a burst of 1.7 times the capacity for 3 s        | 0.97   | 0.94 | 1.5   |
      | 7.5 times the usual of one customer              | 0.97   | 0.97 | 1.5   |
      | too much, 28 in 100 with one key                 | 0.97   | 0.97 | 1.5   |
      | too much, of whom 30 in 100 repeat three times   | 0.97   | 0.92 | 1.5   |
      | as usual while half of the upstreams are gone    | 0.97   | 0.82 | 1.5   |
      | 400 requests at once after a restart             | 0.95   | 0.75 | 2.0   |

  Scenario: A customer at 7.5 times its usual doesn't take the places of the others
    Given callers send 7.5 times the usual of one customer
    When it meets a gateway with the queue, and one where each request searches for itself
    Then at least 0.98 of the callers of other customers are answered in time, more than without the queue

  Scenario: A key that usually has 28 in 100 of the requests keeps its share
    Given callers send too much, 28 in 100 with one key
    When it meets a gateway with the queue, and one where each request searches for itself
    Then at least 0.95 of the callers of customer big are answered in time, more than without the queue

  Scenario: Callers that repeat at once gain no place by it
    Given callers send too much, of whom 30 in 100 repeat three times
    When it meets a gateway with the queue, and one where each request searches for itself
    Then at least 0.92 of the callers of other customers are answered in time, more than without the queue

  Scenario: Callers that leave give their places to the others
    Given callers send too much, of whom 40 in 100 leave after 0.3 s
    When it meets a gateway with the queue, and one where each request searches for itself
    Then at least 0.97 of the callers that stay are answered in time, and none is left

  Scenario: Refused callers return at times of their own, which hold
    Given callers send 400 requests at once after a restart
    When it meets a gateway with the queue, and one where each request searches for itself
    Then every caller is answered, and at least 0.9 of the refused ones at the time that they were told
    And at most 5 callers are told to return within the same 0.05 s

  Scenario Outline: The queue offers the first request in its order: <case>
    Given a queue with waiting requests <requests>
    Then <first> is offered first

    Examples:
      | case                              | requests                                         | first |
      | the most urgent                   | a: rank 5 start 1, b: rank 0 start 2             | b     |
      | the one with the least time       | a: rank 5 start 2, b: rank 5 start 1             | b     |
      | one that can still be in time     | a: rank 5 start -1, b: rank 5 start 2            | b     |
      | an urgent one though late         | a: rank 0 start -1, b: rank 5 start 2            | a     |
      | one that was told to return       | a: rank 5 start 1, b: rank 5 start 2 returning   | b     |
      | an urgent one before returning    | a: rank 0 start 2, b: rank 5 start 1 returning   | a     |
      | one whose customer has its share  | a: rank 5 start 1 greedy, b: rank 5 start 2      | b     |
      | the first that came               | a: rank 5 start 1, b: rank 5 start 1             | a     |

  Scenario: Urgent load doesn't starve the others
    Given a queue into which 2 urgent requests come for each one that is sent
    When 200 requests are sent while 20 bulk requests wait
    Then 15 to 20 bulk requests were sent, and none of them before a tenth of the others

  Scenario: A kind for which no upstream is found doesn't keep other kinds from being sent
    Given a queue with waiting requests a: rank 0 start 1 kind x, b: rank 5 start 1 kind y
    When no upstream is found for a
    Then b is offered first

  Scenario: Requests that can't start in their time are refused at once, once the rate is known
    Given a queue in which 100 requests wait for 2 s, and 10 are sent a second
    Then nothing is refused within 0.2 s, and 75 to 85 requests after 0.5 s, the last in order

  Scenario: Bodies of waiting requests are bounded, and the least urgent are refused
    Given a queue for bodies of 1000 bytes
    When requests with bodies of 400 bytes and ranks 5, 0, 9, 0 wait
    Then those with ranks 9, 5 are refused for lack of memory

  Scenario: A caller that returns too early is told the same time again
    Given a caller that is told to return after 1 s
    Then it is told the same time if it returns after 0.5 s, and is ahead of newcomers after 1 s

  Scenario Outline: A full upstream gets no request until fewer are in flight or a pause is over
    Given an upstream that has rejected requests sent beside 4 others <n> times
    Then it is <state> with <inflight> requests in flight after <age> s

    Examples:
      | n | inflight | age  | state |
      | 1 | 4        | 0.04 | full  |
      | 1 | 3        | 0.04 | free  |
      | 1 | 4        | 0.06 | free  |
      | 3 | 4        | 0.15 | full  |
      | 9 | 4        | 0.39 | full  |
      | 9 | 4        | 0.41 | free  |

  # A stream that waited until queues of prompts were short had too little time left for a larger
  # model's answer.
  Scenario Outline: A stream with time to spare leaves slots for more urgent ones, but doesn't wait for queues of prompts: <case>
    Given a stream service with routes of priorities <priorities>
    And every upstream has <queued> prompt tokens queued for <busy> s
    And every upstream has <taken> of 16 slots taken for <busy> s
    When a stream of priority <own> with <tokens> prompt tokens comes
    Then it is admitted after <low> s to <high> s

    Examples:
      | case                      | priorities | queued | taken | busy | own | tokens | low  | high |
      | waits for a slot          | 0, 9       | 3000   | 15    | 0.2  | 9   | 3000   | 0.2  | 0.3  |
      | waits for a short time    | 0, 9       | 3000   | 15    | 60   | 9   | 3000   | 0.2  | 0.35 |
      | a long queue of prompts   | 0, 9       | 30000  | 8     | 60   | 9   | 3000   | 0.0  | 0.0  |
      | long prompt, empty queue  | 0, 9       | 0      | 0     | 60   | 9   | 90000  | 0.0  | 0.0  |
      | the urgent one itself     | 0, 9       | 30000  | 15    | 60   | 0   | 3000   | 0.0  | 0.0  |
      | one priority              | 9, 9       | 30000  | 15    | 60   | 9   | 3000   | 0.0  | 0.0  |
      | no slack                  | 0, 9       | 120000 | 15    | 60   | 9   | 3000   | 0.0  | 0.0  |

  Scenario Outline: A plain request with time to spare leaves slots for more urgent ones
    Given a plain service with routes of priorities <priorities>, whose answers take 0.1 s
    And every upstream has 15 of 16 slots taken for 0.4 s
    When a plain request of priority <own> comes
    Then it is admitted after <low> s to <high> s

    Examples:
      | priorities | own | low | high |
      | 0, 9       | 9   | 0.4 | 0.5  |
      | 0, 9       | 0   | 0.0 | 0.0  |
      | 9, 9       | 9   | 0.0 | 0.0  |

  Scenario: A request without any upstream isn't kept waiting for all of its goal
    Given a stream service without upstreams
    When a stream with a goal of 2 s comes
    Then it is refused after 0.6 s, and may return 2 s later

  Scenario: Queue length and refusals by reason are metrics
    Given callers send as usual while half of the upstreams are gone
    When it meets a gateway with the queue, and one where each request searches for itself
    Then the refusals by reason add up to the callers' refusals, and the queue length is 0
