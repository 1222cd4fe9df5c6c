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
