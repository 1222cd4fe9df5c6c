Feature: Each entry sends requests to a subset of the upstreams

  Scenario: Subsets at the size that the system is designed for
    Given 3500 upstreams of 8 versions in 14 failure domains of 5 regions
    When 410 entries in all regions choose 4 upstreams per domain and 2 per remote region
    Then entries and upstreams form fewer than 70000 pairs, with at most 2.2 times the mean number at any upstream
    And each entry has 4 upstreams of each version in each domain of its region
    And each entry has 2 upstreams of each version in each other region
    And every upstream is chosen by 3 entries or more

  Scenario: The loss of a node changes few choices
    Given 3500 upstreams of 8 versions in 14 failure domains of 5 regions
    When 410 entries in all regions choose 4 upstreams per domain and 2 per remote region
    Then the loss of any of 20 upstreams changes at most one chosen upstream of each entry
    And the loss of an entry does not change the choices of the other entries

  Scenario: A version that no upstream of the local region serves is fully covered by a remote one
    Given 96 upstreams of 2 versions in 6 failure domains of 2 regions, the second version in the last region only
    When an entry of the first region chooses 4 upstreams per domain and 2 per remote region
    Then it has 12 upstreams of the second version

  Scenario: An entry of a small deployment uses all upstreams
    Given a small document with 6 upstreams
    Then the membership system keeps all of them as candidates
