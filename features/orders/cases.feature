Feature: Outcomes for the caller of an order and for a repeat of its key under a fault

  Scenario Outline: <case>
    When an order encounters <case>
    Then its caller gets <first>, a repeat gets <repeat> and the order ran <n> times

    Examples:
      | case                                                           | first           | repeat                 | n |
      | nothing                                                        | answered        | answered again         | 1 |
      | another body in the repeat                                     | answered        | idempotency_key_reused | 1 |
      | a store outage when the claim is written                       | platform_down   | answered               | 1 |
      | a lost response to the claim's write                           | platform_down   | answered               | 1 |
      | a lost response to the claim's write, then an immediate repeat | platform_down   | in_progress            | 0 |
      | a claim applied after the order was refused                    | platform_down   | answered               | 1 |
      | no connection to the agent                                     | answered        | answered again         | 1 |
      | an interruption before the order arrives                       | answered        | answered again         | 1 |
      | an interruption after the order arrived                        | answered        | answered again         | 1 |
      | the agent unreachable after the send                           | outcome_unknown | answered again         | 1 |
      | the agent unreachable, then restarted                          | outcome_unknown | outcome_unknown        | 1 |
      | an agent restart while the order runs                          | outcome_unknown | outcome_unknown        | 1 |
      | the entry paused past the deadline                             | deadline_passed | answered               | 1 |
      | the entry paused during the claim's write                      | deadline_passed | answered               | 1 |
      | the entry paused, another taking over                          | in_progress     | answered               | 1 |
      | a fence by another entry and a store outage                    | in_progress     | answered               | 1 |
      | the entry paused during its last write                         | in_progress     | answered               | 1 |
      | the entry killed before the send                               | nothing         | answered               | 1 |
      | the entry killed while the order runs                          | nothing         | answered again         | 1 |
      | the entry killed, the agent restarted                          | nothing         | outcome_unknown        | 1 |
      | a repeat while the order is in progress                        | answered        | in_progress            | 1 |
      | two entries claiming the key at once                           | answered        | in_progress            | 1 |
      | every domain withdrawn                                         | domain_out      | answered               | 1 |
      | every domain withdrawn and a store outage                      | platform_down   | answered               | 1 |
      | an upstream failure after the send                             | outcome_unknown | outcome_unknown        | 1 |
      | an upstream failure, repeated after the agent's record expired | outcome_unknown | outcome_unknown        | 1 |
