Feature: What gateways tell each other reaches all of them, with few bytes between failure domains

  Scenario: A few gateways tell all others
    Given 7 gateways in 3 failure domains
    When each one chooses its targets for 1 rounds
    Then each round has all others

  Scenario Outline: Many gateways tell five of their failure domain and one outside it
    Given <n> gateways in <domains> failure domains
    When each one chooses its targets for <rounds> rounds
    Then each round has six hosts, five of the own failure domain or all if it has fewer
    And each one reaches every host of its failure domain within <inside> rounds
    And each one reaches every other host within <outside> rounds
    And each failure domain reaches every other host within <domain> rounds

    Examples:
      | n  | domains | rounds | inside | outside | domain |
      | 8  | 3       | 40     | 1      | 2       | 1      |
      | 8  | 1       | 40     | 2      | 0       | 0      |
      | 24 | 3       | 60     | 2      | 16      | 3      |
      | 29 | 4       | 60     | 3      | 24      | 6      |
      | 68 | 4       | 120    | 5      | 51      | 4      |

  Scenario Outline: A gateway that knows little tells six at random
    Given 24 gateways in 3 failure domains
    When a gateway chooses its targets for 200 rounds <state>
    Then each round has 6 hosts in all and together they are all others

    Examples:
      | state                        |
      | 2.9 s after its start        |
      | though it hears from nobody  |
      | without a failure domain     |

  Scenario: A gateway whose failure domain is unknown or that isn't heard counts as outside
    Given a table of peers with a heard gateway, a seed and a gateway that is silent for 5 s
    Then only the heard gateway has a failure domain

  Scenario: Speeds of upstreams are exchanged
    Given two gateways, of which the first knows the speed of an upstream
    When the second one gets a message of the first one
    Then it merges the speed as the first one's

  Scenario: Each field of a message belongs to a fact
    Then the table of facts names each field of a message and no other, and fits into a datagram

  Scenario Outline: Facts reach all gateways though a fifth of the datagrams is lost
    Given <n> gateways in <domains> failure domains that gossip, with 1 datagram in 5 lost
    When one gateway after the other learns one fact of each kind
    Then final facts are known to all within 3 s and others to 9 in 10 within their times
    And no part of a message is larger than the table of facts says

    Examples:
      | n  | domains |
      | 4  | 3       |
      | 24 | 3       |
      | 29 | 4       |
      | 68 | 4       |

  Scenario Outline: Final facts reach a failure domain that was cut off and gateways that start late
    Given <n> gateways in <domains> failure domains that gossip, with 1 datagram in 5 lost
    When a failure domain is cut off for 5 s, and both sides learn final facts meanwhile
    Then within 3 s after that all gateways know them
    And gateways that start then know them 3 s after their start

    Examples:
      | n  | domains |
      | 4  | 3       |
      | 24 | 3       |
      | 68 | 4       |

  Scenario Outline: Messages between failure domains are few and small
    Given <n> gateways in <domains> failure domains that gossip, with 1 datagram in 50 lost
    And as many that send to six at random as before
    When both run for 4 s without an incident
    Then a gateway sends at most <most> bytes per second to other failure domains
    And the gateways know all loads to within 1 in 100, those of before don't
    And 2 s after a prompt is sent at least 98 in 100 gateways know it

    Examples:
      | n  | domains | most |
      | 24 | 3       | 3000 |
      | 29 | 4       | 3000 |

  Scenario: Gateways of a failure domain without a seed find each other
    Given 29 gateways in 4 failure domains that gossip, with 1 datagram in 5 lost
    Then each gateway knows at least 98 in 100 of the others and their failure domains

  Scenario Outline: No gateway counts twice in the loads
    Given a gateway that has heard <heard>
    Then it counts <n> requests in flight from peers

    Examples:
      | heard                                                            | n  |
      | loads of a peer inside                                           | 1  |
      | loads of a peer outside                                          | 2  |
      | loads of a peer outside, sums of its failure domain              | 30 |
      | sums of its failure domain, loads of a peer outside              | 30 |
      | loads of a peer inside, sums of its failure domain               | 31 |
      | sums of its failure domain, newer sums over fewer gateways       | 30 |
      | older sums of its failure domain, newer sums over fewer gateways | 4  |
      | outdated sums of its failure domain, loads of a peer outside     | 2  |
      | sums of its failure domain, sums passed on that are older        | 30 |
      | sums of the own failure domain                                   | 0  |

  Scenario: Sums of very many upstreams fit into a datagram
    Then sums of 3500 upstreams have the 1024 busiest and take at most 32768 bytes

  Scenario: Counts of a run are replaced by higher totals only
    Given a gateway that has counted 5 answers of a run
    When it hears 3, 0, 7 and 6 answers of it from others
    Then it counts 7 answers

  Scenario: Messages are readable for the release before, and its messages here
    Given a message with all parts
    Then the release before reads it, and its message is read here

  Scenario: A prompt is told on a bounded number of times, the newest first
    Given a gateway of 24 that sends 40 prompts and hears the same of others again
    Then each message has at most 24 of them inside and 12 outside, the newest
    And no prompt is in more than 3 messages inside or 4 outside

  Scenario: Bytes of gossip are counted, and a failure domain that was silent is logged
    Given a gateway that sends and receives gossip
    Then it counts bytes within and between failure domains
    And it logs a failure domain that is heard first and one that was silent for 5 s
