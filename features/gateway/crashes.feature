Feature: Requests with a part of a prompt that crashes upstreams are recognised by that part

  Scenario Outline: Upstreams don't crash one after the other under requests that share a prompt part: <place>
    Given a gateway with two upstreams that crash when they begin to answer a prompt with a certain part
    When for 9 s 20 requests per second arrive, a third of them different ones with that part, <place>
    Then at most 3 requests with the part reach upstreams later than 3 s after the fifth crash
    And of the sound requests from 6 s after the fifth crash on at least half begin at the first attempt

    Examples:
      | place                           |
      | in the middle of their prompts  |
      | at the beginning of the prompts |

  Scenario: A part is banned by crashes that different gateways have seen
    Given the registries of 3 gateways
    When each of them records one crash of a different request with part "bad"
    Then none of them has banned it before they exchange reports, and each one after

  Scenario: The attempts of a single request don't ban the parts of its prompt
    Given the registries of 1 gateways
    When one request is lost in 3 crashes
    Then no part is banned

  Scenario: A failure domain that goes down doesn't ban the parts of the prompts that are lost with it
    Given the registries of 1 gateways
    When 8 upstreams crash at the same moment under different requests with the same part
    Then no part is banned

  Scenario: A part whose prompts are answered isn't banned, however many crashes it is in
    Given the registries of 2 gateways
    When part "common" is in 6 crashes with part "bad", and an answer with "common" goes on at the other gateway
    Then after they have exchanged reports only "bad" is banned

  Scenario: Many banned parts don't keep gateways from counting the crashes of another one together
    Given the registries of 3 gateways
    And 12 parts are banned by all of them
    When each of them records one crash of a different request with part "bad"
    Then none of them has banned it before they exchange reports, and each one after

  Scenario: A gateway that starts later learns of every banned part
    Given the registries of 2 gateways
    When 12 parts are banned by the first of them and it sends 3 reports
    Then the other one has banned them too

  Scenario: A part that another one explains is released
    Given the registries of 1 gateways
    When parts "bad" and "rare" are in the same 3 crashes, and "bad" is in 2 more
    Then after they have exchanged reports only "bad" is banned

  Scenario Outline: A part that all prompts share isn't banned in place of the one that crashes upstreams: <bad>, every <pause> s, <missed> missed
    Given the registries of 1 gateways
    When part "<bad>" crashes upstreams 7 times, every <pause> s, each crash loses 3 sound requests as well, all have part "common", and the last <missed> times the check misses its request
    Then "<bad>" is banned and "common" is not

    Examples:
      | bad   | pause | missed |
      | a-bad | 0.5   | 0      |
      | z-bad | 0.5   | 0      |
      | a-bad | 0.5   | 1      |
      | z-bad | 0.5   | 1      |
      | a-bad | 0.18  | 1      |
      | z-bad | 0.18  | 1      |

  Scenario Outline: Documents that sound prompts share with crashing ones aren't banned in place of the part that crashes upstreams: <n_documents>
    Given the registries of 1 gateways
    When part "bad" with one of <n_documents> documents crashes upstreams 12 times, every 0.2 s, and each crash loses 2 sound requests as well, which are lost 2 times
    Then from the sixth crash on only "bad" is banned each time

    Examples:
      | n_documents |
      | 3           |
      | 5           |
      | 8           |

  Scenario: A ban ends when there has been no crash for a long time
    Given the registries of 1 gateways
    When part "bad" is banned and 11 minutes pass without a crash
    Then the first new crash doesn't ban it again

  Scenario Outline: Few requests with the part are sent once it is known, and sound ones aren't refused: <n> gateways
    Given <n> gateways before <upstreams> upstreams, which exchange gossip with 6 others every 0.4 s
    When for 30 s <bad> requests per second with a crashing part and <sound> sound ones arrive
    Then at most 3 requests with the part are sent later than <contact> s after the fifth crash
    And at most 2 in 100 sound requests are refused for a part of their prompts

    Examples:
      | n  | upstreams | bad | sound | contact |
      | 4  | 6         | 3   | 13    | 3       |
      | 24 | 23        | 4   | 52    | 4       |
      | 68 | 39        | 6   | 97    | 5       |

  # A part that sound prompts share was lost in crashes of others; as all of its prompts are refused,
  # no answer could end its ban.
  Scenario Outline: A part that doesn't crash upstreams is released after a probe: <n> gateways
    Given <n> gateways before <upstreams> upstreams, which exchange gossip with 6 others every 0.4 s
    When a part that sound prompts share is in three crashes, and for 12 s <sound> sound requests per second arrive
    Then no sound request is refused later than 6 s after the last of these crashes

    Examples:
      | n  | upstreams | sound |
      | 1  | 2         | 13    |
      | 4  | 6         | 13    |
      | 24 | 23        | 52    |
      | 68 | 39        | 97    |

  Scenario Outline: Probes of a part that crashes upstreams become rare: <n> gateways
    Given <n> gateways before <upstreams> upstreams, which exchange gossip with 6 others every 0.4 s
    When for 120 s <bad> requests per second with a crashing part and <sound> sound ones arrive
    Then at most 5 upstreams crash later than <contact> s after the fifth crash

    Examples:
      | n  | upstreams | bad | sound | contact |
      | 4  | 6         | 3   | 13    | 3       |
      | 24 | 23        | 4   | 52    | 4       |
      | 68 | 39        | 6   | 97    | 5       |
