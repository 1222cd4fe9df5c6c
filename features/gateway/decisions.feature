Feature: Decisions of the gateway, computed without a network

  Scenario Outline: A version is found bad where it fails significantly more often than the old one
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
      | 300          | 3000        | a     | 700          | 7000        | unsure  |
      | 900          | 3000        | a     | 700          | 7000        | bad     |
      | 9000         | 300000      | a     | 0            | 900000      | unsure  |

  Scenario Outline: A version that one gateway has found bad isn't kept in use by those that lack its counts, <started> s
    Given a gateway with an upgrade that began at 100 s, and counts that show nothing
    When a peer reports that the new version is bad, in an upgrade that began at <started> s
    Then the gateway sends sessions to the <side> version

    Examples:
      | started | side |
      | 100     | old  |
      | 50      | new  |

  Scenario: A gateway whose check fails as the upgrade is completed doesn't refuse requests once the old upstreams have left
    Given a gateway with an upgrade that began at 100 s, and counts that show nothing
    When a peer reports that the new version is bad, in an upgrade that began at 100 s
    And another gateway completes the upgrade
    Then the gateway sends sessions to the new version

  Scenario Outline: An upgrade proceeds step by step
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

  Scenario: In the first half of an upgrade no session changes its version, later none returns to the old one
    Given 2000 sessions
    When the new version's share grows from 0.1 to 0.5
    Then no session leaves the new version
    And at first between 0.08 and 0.12 of the sessions were on it

  Scenario Outline: All gateways together respect a cold upstream's rate limit
    Given <n> gateways and a cold upstream that can handle <rate> requests per second
    Then together they may send between <low> and <high> requests per second

    Examples:
      | n  | rate | low | high |
      | 1  | 5.9  | 5   | 5    |
      | 4  | 5.9  | 4   | 5    |
      | 8  | 5.9  | 5   | 5    |
      | 29 | 5.9  | 5   | 5    |

  Scenario: A cold upstream gets no more than its quota within any second
    Given a quota of 2 requests per second
    When a request is attempted every 0.1 s for 10 s
    Then no window of 1 s contains more than 2 sent requests

  Scenario: Extra attempts stay within the budget of the sliding window
    Given a budget of 0.5 per request and a slack of 8 shared by 4 gateways, over 10 s
    When 10 requests arrive and extra attempts are made while the budget allows
    Then 5 extra attempts were made
    And after 10 s more the budget is that of a window without requests

  Scenario: Prompts go to the upstream that has cached their parts, unless it has too much work
    Given 6 upstreams of a service with a small and a large model
    When a prompt is sent to the upstream chosen for it
    Then the next prompt with the same shared parts is placed there as well
    And a further one is placed elsewhere once 100000 tokens are queued there

  Scenario: Small and large models don't share upstreams while there are enough of them
    Given 6 upstreams of a service with a small and a large model
    When 40 prompts are placed for each model
    Then no upstream was chosen for both

  Scenario: Costly models get as many upstreams as their load requires
    Given 23 upstreams that process 62 prompt tokens per ms, a costly model's at a third of the rate
    When for 60 s 19 costly and 40 cheap requests arrive per second
    Then 95 in 100 requests of each model have their first event within the goal of 3 s

  Scenario: A suspended upstream is the last resort, and an old copy of a row never replaces a newer one
    Given 2 upstreams of a service with a small and a large model
    When both upstreams fail to answer
    Then the one whose suspension ends first is chosen
    And a replica of a table keeps the newest row when an older table is read

  Scenario Outline: An upstream is suspended by the outcomes of its attempts
    Given an upstream without recorded outcomes
    When attempts at it have the outcomes <outcomes>
    Then it is <state>

    Examples:
      | outcomes                                          | state     |
      | silent                                            | suspended |
      | failure                                           | open      |
      | broken broken                                     | suspended |
      | success success success success success failure   | open      |

  Scenario: Events are split at their ends, however the stream is divided into chunks
    Given a stream of 20 events that end in an empty line, with LF or with CRLF
    When it arrives in chunks of every size from 1 to 40 bytes
    Then the same 20 events are returned each time

  Scenario Outline: An event without content isn't taken for progress of the answer
    Given an event of the lines <lines>
    Then it has <content>

    Examples:
      | lines                | content        |
      | : ping               | no content     |
      | event: token         | no content     |
      | data:                | no content     |
      | id: , data           | no content     |
      | data: x              | content        |
      | id: 7                | content and id |
      | : ping, id: 7, data: | content and id |
      | data:, data: x       | content        |

  Scenario: Comments without end are found to be too long, and events with content are not
    Given a stream of 20000 comments
    Then the last one makes the stream too long
    And it isn't if each tenth one is followed by an event with content

  Scenario: An event that arrives byte by byte takes time in proportion to its length
    Given an event of 400000 bytes that never ends
    When it arrives byte by byte
    Then at most 3 s of the processor's time have passed

  Scenario: A slow answer counts as a failure of its version
    Given 10 answers of the old version in 0.1 s each
    When the new version answers in 0.9 s
    Then it counts as a failure

  Scenario Outline: A slow answer is measured by the same model's times on the old version, to the first event and between events
    Given 10 answers of the old version by two models, one ten times as fast as the other
    When the new version's <model> model takes <first> s to the first event and <pause> s between events
    Then it <counts> as a failure

    Examples:
      | model | first | pause | counts       |
      | fast  | 0.8   | 0.02  | counts       |
      | fast  | 0.2   | 0.3   | counts       |
      | slow  | 0.8   | 0.2   | doesn't count |
      | fast  | 0.15  | 0.05  | doesn't count |

  Scenario Outline: A version whose events come several times slower is found bad though few answers show it, <n_old> on each route
    Given <n_old> answers of the old version on each of 3 routes, with <pause> s between events
    When the new version answers 4 streams, 3 of them with <slow> s between events
    Then the counts show that the new version is bad

    Examples:
      | n_old | pause | slow |
      | 10    | 0.02  | 0.08 |
      | 2     | 0.02  | 0.16 |
      | 2     | 0.02  | 0.08 |

  Scenario: A request that crashes upstreams is refused after the third crash, whichever gateway saw it
    Given a gateway that recorded 2 upstream crashes caused by one request
    When another gateway reports the same crashes and one more
    Then the request is banned

  Scenario: Failures are logged in preference to successes, and a log reader that stops never blocks the writer
    Given a log whose reader has stopped
    When 5000 lines are written
    Then the writer was never blocked and the dropped lines are counted

  Scenario Outline: An entry that is missing after a store outage is retained only where it may have expired
    Given a follower of the upstream table that drops a leaving upstream within 2 s
    When the store is unavailable for <outage> s and an entry is removed <removed> s after its recovery
    Then the entry is out of use <unused> s after the recovery

    Examples:
      | outage | removed | unused |
      | 5      | 0       | 1.7    |
      | 5      | 0.8     | 0.8    |
      | 1      | 0       | 0      |

  Scenario: An entry that expired during a store outage and is registered again stays in use
    Given a follower of the upstream table that drops a leaving upstream within 2 s
    When the store is unavailable for 5 s, an entry is missing at its recovery and registered again 1 s later
    Then the entry is in use all the time

  Scenario: While the store is unavailable one follower probes it and the others wait for that
    Given a probing and a waiting follower of a store that is unavailable from 5 s to 15 s
    When they run for 20 s
    Then the waiting follower makes at most 4 calls while the store is unavailable
    And it makes its next call within 0.1 s of the first answer

  Scenario: A part of the budget is kept for requests that have failed
    Given a budget of 0.5 per request and a slack of 8 shared by 4 gateways, over 10 s
    When 100 requests arrive and extra attempts are made by choice while the budget allows
    Then 42 extra attempts were made
    And at least 5 further ones may be made for requests that have failed

  Scenario Outline: An upstream that several peers report as silent gets requests only as a last resort
    Given 2 upstreams of a service with a small and a large model
    When <n> peers report the preferred upstream of a prompt as silent
    Then the prompt is placed on the <which> upstream

    Examples:
      | n | which     |
      | 0 | preferred |
      | 1 | preferred |
      | 2 | other     |

  Scenario: Reports of silent upstreams expire, and count once for each peer
    Given a table of peers
    When three peers report an upstream as silent, one of them twice and one 2 s ago
    Then 2 peers report it as silent
