Feature: What the caller of an order and its repeat are told under a fault

  Scenario Outline: <case>
    When an order meets <case>
    Then its caller is told <first>, a repeat is told <repeat> and it ran <n> times

    Examples:
      | case                                      | first             | repeat                 | n |
      | nothing                                   | answered          | answered again         | 1 |
      | another body                              | answered          | idempotency_key_reused | 1 |
      | the claim refused by a store that is down | platform_down     | answered               | 1 |
      | the claim's answer lost                   | platform_down     | answered               | 1 |
      | the claim's answer lost, repeated at once | platform_down     | in_progress            | 0 |
      | the claim landing late                    | platform_down     | answered               | 1 |
      | no connection to the agent                | answered          | answered again         | 1 |
      | a cut before the order arrives            | answered          | answered again         | 1 |
      | a cut after the order arrived             | answered          | answered again         | 1 |
      | the agent out of reach after the send     | outcome_unknown   | answered again         | 1 |
      | the agent out of reach, then restarted    | outcome_unknown   | outcome_unknown        | 1 |
      | the agent restarted while it runs         | outcome_unknown   | outcome_unknown        | 1 |
      | the entry frozen past the deadline        | deadline_passed   | answered               | 1 |
      | the entry frozen in the claim             | deadline_passed   | answered               | 1 |
      | the entry frozen, another taking over     | in_progress       | answered               | 1 |
      | a taker's fence and the store down        | in_progress       | answered               | 1 |
      | the entry frozen in its last write        | in_progress       | answered               | 1 |
      | the entry killed before the send          | nothing           | answered               | 1 |
      | the entry killed while it runs            | nothing           | answered again         | 1 |
      | the entry killed, the agent restarted     | nothing           | outcome_unknown        | 1 |
      | a repeat while it is in progress          | answered          | in_progress            | 1 |
      | two entries racing                        | answered          | in_progress            | 1 |
      | every domain out                          | domain_out        | answered               | 1 |
      | every domain out and the store down       | platform_down     | answered               | 1 |
      | the upstream failing after the send       | outcome_unknown   | outcome_unknown        | 1 |
      | the upstream failing, long forgotten      | outcome_unknown   | outcome_unknown        | 1 |
