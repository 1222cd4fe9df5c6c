Feature: Each entry talks to a subset of the upstreams

  Scenario: The size to design for
    Given 3500 upstreams of 8 versions in 14 failure domains of 5 regions
    When 410 entries spread over the regions choose 4 a domain and 2 a far region
    Then pairs are fewer than 70000 and the busiest upstream has at most 2.2 times the mean
    And each entry has 4 upstreams of each version in each domain of its region
    And each entry has 2 upstreams of each version in each other region
    And every upstream is chosen by 3 entries or more

  Scenario: Few places change when a node goes
    Given 3500 upstreams of 8 versions in 14 failure domains of 5 regions
    When 410 entries spread over the regions choose 4 a domain and 2 a far region
    Then the loss of any of 20 upstreams changes one place at most in each entry
    And the loss of an entry changes nothing in the others

  Scenario: A version that no near upstream serves is fully covered from afar
    Given 96 upstreams of 2 versions in 6 failure domains of 2 regions, the second version far only
    When an entry of the first region chooses 4 a domain and 2 a far region
    Then it has 12 upstreams of the second version

  Scenario: A small deployment is not split
    Given 6 upstreams of a small document
    Then the membership system keeps all of them as candidates
