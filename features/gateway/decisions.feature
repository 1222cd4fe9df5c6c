Feature: The gateway's decisions, without a network

  Scenario Outline: A version is found bad by its failures
    Given a new version with <new_failures> failures in <new_answers> answers on the route "<route>"
    And an old version with <old_failures> failures in <old_answers> answers on the route "a"
    Then the new version is <verdict>

    Examples:
      | new_failures | new_answers | route | old_failures | old_answers | verdict |
      | 0            | 3           | a     | 0            | 50          | unsure  |
      | 2            | 2           | a     | 0            | 50          | unsure  |
      | 3            | 4           | a     | 0            | 50          | bad     |
      | 3            | 40          | a     | 0            | 200         | unsure  |
      | 5            | 30          | a     | 30           | 200         | unsure  |
      | 18           | 30          | a     | 30           | 200         | bad     |
      | 4            | 6           | b     | 0            | 200         | bad     |

  Scenario Outline: An upgrade goes on step by step
    Given an upgrade of 20 s whose new version has <share> of the sessions
    When <passed> s have passed and the verdict is <verdict>
    Then the next status is <state> with a share of <next_share>

    Examples:
      | share | passed | verdict | state    | next_share |
      | 0.1   | 5      | unsure  | none     | 0          |
      | 0.1   | 11     | unsure  | running  | 0.3        |
      | 0.3   | 13     | unsure  | running  | 0.5        |
      | 0.5   | 17     | unsure  | running  | 1.0        |
      | 1.0   | 18     | unsure  | none     | 0          |
      | 1.0   | 19     | unsure  | complete | 1.0        |
      | 0.1   | 2      | bad     | reverted | 0          |
      | 1.0   | 18     | bad     | reverted | 0          |

  Scenario: In the first half of an upgrade no session changes its version, later none goes back
    Given 2000 sessions
    When the new version's share grows from 0.1 to 0.5
    Then no session leaves the new version
    And between 0.08 and 0.12 of them were on it first

  Scenario Outline: All gateways together keep a cold upstream's bound
    Given <n> gateways and a cold upstream that bears <rate> requests a second
    Then they may send between <low> and <high> requests a second together

    Examples:
      | n  | rate | low | high |
      | 1  | 5.9  | 5   | 5    |
      | 4  | 5.9  | 4   | 5    |
      | 8  | 5.9  | 5   | 5    |
      | 29 | 5.9  | 5   | 5    |

  Scenario: A cold upstream gets no more than its quota within any second
    Given a quota of 2 requests a second
    When a request is tried each 0.1 s for 10 s
    Then no window of 1 s holds more than 2 of them

  Scenario: Extra attempts keep to the budget of the window
    Given a budget of 0.5 for each request and 8 besides, shared by 4 gateways, over 10 s
    When 10 requests arrive and extra attempts are made while the budget allows
    Then 5 extra attempts were made
    And after 10 s more the budget is that of no request

  Scenario: Prompts go where their parts are kept, unless that upstream has too much to do
    Given 6 upstreams of a service with a small and a large model
    When a prompt is sent to its upstream
    Then the next prompt with the same parts goes there as well
    And it goes elsewhere once 100000 tokens are queued there

  Scenario: Small and large models don't share upstreams while there are enough
    Given 6 upstreams of a service with a small and a large model
    When 40 prompts are placed for each model
    Then no upstream was chosen for both

  Scenario: Costly models get the upstreams that their load wants
    Given 23 upstreams that read 62 prompt tokens a ms, a costly model's at a third of the pace
    When for 60 s 19 costly and 40 cheap requests arrive a second
    Then 95 in 100 of each have their first event within the goal of 3 s

  Scenario: A suspended upstream is the last resort, an old copy of a row never wins
    Given 2 upstreams of a service with a small and a large model
    When both upstreams fail to answer
    Then the one that returns first is chosen
    And a mirror keeps the newest row when an older table is read

  Scenario Outline: Outcomes suspend an upstream
    Given an upstream without outcomes
    When it gives the outcomes <outcomes>
    Then it is <state>

    Examples:
      | outcomes                                          | state     |
      | silent                                            | suspended |
      | failure                                           | open      |
      | broken broken                                     | suspended |
      | success success success success success failure   | open      |

  Scenario: Events are split at their ends whatever the pieces
    Given a stream of 20 events with ends of both kinds
    When it arrives in pieces of every size from 1 to 40
    Then the same 20 events come out each time

  Scenario: A slow answer counts as a failure of its version
    Given 10 answers of the old version in 0.1 s each
    When the new version answers in 0.9 s
    Then it counts as a failure

  Scenario Outline: A version is slow by its own model's pace, at the start or between events
    Given 10 answers of the old version by two models, one ten times as fast
    When the new version's <model> model takes <first> s to begin and <pause> s between events
    Then it <counts> as a failure

    Examples:
      | model | first | pause | counts       |
      | fast  | 0.8   | 0.02  | counts       |
      | fast  | 0.2   | 0.3   | counts       |
      | slow  | 0.8   | 0.2   | doesn't count |
      | fast  | 0.15  | 0.05  | doesn't count |

  Scenario: A request that crashes upstreams is refused after the third, wherever they crashed
    Given a gateway that saw a request crash 2 upstreams
    When another gateway tells of the same crashes and of one more
    Then the request is banned

  Scenario: Failures are logged before successes, and a reader that stops holds nothing up
    Given a log whose reader has stopped
    When 5000 lines are written
    Then the writer was never held up and the dropped lines are counted

  Scenario Outline: An entry that is missing after an absence of the store is kept only where it may have lapsed
    Given a follower of the upstreams whose leaving is bound by 2 s
    When the store is away for <away> s and an entry is dropped <dropped> s after its return
    Then the entry is out of use <out> s after the return

    Examples:
      | away | dropped | out |
      | 5    | 0       | 1.7 |
      | 5    | 0.8     | 0.8 |
      | 1    | 0       | 0   |

  Scenario: An entry that lapsed while the store was away and comes back stays in use
    Given a follower of the upstreams whose leaving is bound by 2 s
    When the store is away for 5 s, an entry is missing at its return and is back 1 s later
    Then the entry is in use all the time
