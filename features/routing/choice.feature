Feature: Routers choose an upstream by load, locality and affinity

  Upstreams are written "domain in_flight/limit", as seen by an entry in domain a of region south;
  domain b is in region south too, domain x in another region. The service time is 0.5 s unless
  given after "@". The affinity names the upstream that holds the request's session or its prompt
  prefix, with the state of the prefix hint. The chosen upstream is given by its index.

  Scenario Outline: The router chooses the expected upstream
    Given upstreams "<rows>" and a request with affinity <affinity>
    Then "<router>" chooses <chosen> in 50 draws

    Examples: expected wait
      | rows               | affinity | router        | chosen |
      | a 4/8, a 0/8       | none     | expected_wait | 1      |
      | a 4/8@0.1, a 0/8@2 | none     | expected_wait | 0      |
      | a 3/16, a 0/2      | none     | expected_wait | 0      |
      | a 8/8, a 7/8       | none     | expected_wait | 1      |
      | a 8/8, a 2/2       | none     | expected_wait | none   |
      | a 0/0, a 0/0       | none     | expected_wait | none   |

    Examples: locality
      | rows         | affinity | router        | chosen |
      | a 0/8, b 0/8 | none     | expected_wait | 0      |
      | a 1/8, b 0/8 | none     | expected_wait | 1      |
      | b 1/9, x 0/9 | none     | expected_wait | 0      |
      | a 0/8, x 0/8 | none     | expected_wait | 0      |
      | a 7/8, x 0/8 | none     | expected_wait | 1      |

    Examples: affinity within a load bound
      | rows         | affinity         | router        | chosen |
      | a 1/8, a 0/8 | session 0        | expected_wait | 0      |
      | a 4/8, a 0/8 | session 0        | expected_wait | 1      |
      | a 8/8, a 0/8 | session 0        | expected_wait | 1      |
      | a 1/8, a 0/8 | prefix 0 fresh   | expected_wait | 0      |
      | a 1/8, a 0/8 | prefix 0 fading  | expected_wait | 1      |
      | a 1/8, a 0/8 | prefix 0 expired | expected_wait | 1      |
      | a 1/8, a 0/8 | prefix 0 evicted | expected_wait | 1      |

    Examples: baselines
      | rows         | affinity  | router          | chosen |
      | a 1/8, a 0/8 | session 0 | least_in_flight | 1      |
      | a 8/8, a 0/8 | none      | random          | 1      |
      | a 8/8, a 0/8 | none      | round_robin     | 1      |
      | a 8/8, a 8/8 | none      | round_robin     | none   |

  Scenario Outline: Load is estimated from own attempts and a lagging report

    Own attempts are written as starts (+) and ends (-) with their instants in seconds.

    Given an upstream of limit 10 with own attempts "<own>" and a report of <load> at 5 s
    Then at <instant> s its estimated load is <estimate> and it is <state>

    Examples:
      | own               | load | instant | estimate | state |
      |                   | 0    | 5       | 0        | free  |
      |                   | 9    | 5       | 9        | free  |
      |                   | 10   | 5       | 10       | full  |
      | +1 +2             | 2    | 5       | 2        | free  |
      | +1 +6             | 1    | 6       | 2.88     | free  |
      | +1 -6             | 5    | 5       | 4        | free  |
      | +1 +2 -6 -7 +8    | 6    | 5       | 5        | free  |
      |                   | 10   | 5.04    | 9.93     | full  |
      |                   | 10   | 5.06    | 9.9      | free  |
      |                   | 10   | 7       | 7.5      | free  |
      |                   | 10   | 8       | 6.77     | free  |
      |                   | 0    | 99      | 5        | free  |
      | +1 +1 +1 +1 +1 +1 | 6    | 99      | 6        | free  |

  Scenario: An upstream that refused an attempt as full is not chosen until a slot should be free
    Given upstreams "a 2/4, a 3/4" and a request with affinity none
    When the first upstream refuses an attempt as full
    Then "expected_wait" chooses 1 in 50 draws
    And "least_in_flight" chooses 1 in 50 draws
    When 0.2 s pass
    Then "least_in_flight" chooses 0 in 50 draws

  Scenario Outline: Expected wait has a lower p99 latency than the baselines

    One upstream is cold, two are slow, and the load reports lag.

    Given 12 upstreams, 1 cold and 2 slow, whose reports are 0.5 to 1.5 s old
    When <entries> entries send half of the upstreams' capacity for 60 s
    Then the p99 of expected_wait is at most <least> of least_in_flight's and <random> of random's

    Examples:
      | entries | least | random |
      | 3       | 0.99  | 0.9    |
      | 12      | 0.95  | 0.9    |
