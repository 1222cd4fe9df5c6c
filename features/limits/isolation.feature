Feature: One customer's overload doesn't slow down the other customers

  10 customers share 64 slots at 80 % load; one then sends five times its load, which exceeds the
  capacity of the slots. Times are virtual; service times are exponential with a mean of 0.5 s.

  Scenario Outline: Response times of the other customers while one overloads the pool
    Given 10 customers at <load> of the capacity of 64 slots, from seed <seed>
    And a quota of <quota> times the load of each
    When one customer sends five times its load for 120 s
    Then in <order> order the <quantiles> of the others' response times rise by <change> a tenth

    Examples: the queue alone
      | load | seed | quota | order | quantiles | change    |
      | 0.8  | 1    | 100   | fair  | p99       | at most   |
      | 0.8  | 2    | 100   | fair  | p99       | at most   |
      | 0.8  | 1    | 100   | FIFO  | p99       | more than |

    Examples: the queue behind the quota
      | load | seed | quota | order | quantiles     | change  |
      | 0.8  | 1    | 2     | fair  | p50, p95, p99 | at most |
      | 0.8  | 2    | 2     | fair  | p50, p95, p99 | at most |
      | 0.6  | 3    | 2     | fair  | p50, p95, p99 | at most |
