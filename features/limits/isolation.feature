Feature: One customer's overload doesn't move the others' wait

  10 customers share 64 slots at 80 % load; one then asks for five times as much, which is more than
  the slots bear. Times are virtual; service times are exponential with a mean of 0.5 s.

  Scenario Outline: The others' times from arrival to answer while one floods
    Given 10 customers at <load> of the capacity of 64 slots, from seed <seed>
    And a quota of <quota> times the load of each
    When one customer asks for five times its load for 120 s
    Then in <order> order the others' <quantiles> change by <change> a tenth

    Examples: the queue alone
      | load | seed | quota | order | quantiles | change    |
      | 0.8  | 1    | 100   | fair  | p99       | at most   |
      | 0.8  | 2    | 100   | fair  | p99       | at most   |
      | 0.8  | 1    | 100   | FIFO  | p99       | more than |

    Examples: the queue behind the quota
      | load | seed | quota | order | quantiles    | change    |
      | 0.8  | 1    | 2     | fair  | p50, p95, p99| at most   |
      | 0.8  | 2    | 2     | fair  | p50, p95, p99| at most   |
      | 0.6  | 3    | 2     | fair  | p50, p95, p99| at most   |
