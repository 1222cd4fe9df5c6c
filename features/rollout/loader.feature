Feature: Load orders respect the weight store's rate and the engines' memory

  Scenario: Every engine loads its versions within the rate and its memory, under the controller's number
    Given 6 engines in 3 domains that are configured to serve 2 versions, each with memory for 2
    When the loader runs for 600 s at 0.1 loads per second
    Then every engine holds both versions
    And orders never exceeded a burst of 2 loads plus 0.1 per second
    And the first copies of each version are in 3 domains

  Scenario: No engine is ordered to load more than it can hold
    Given 6 engines in 3 domains that are configured to serve 2 versions, each with memory for 1
    When the loader runs for 600 s at 0.1 loads per second
    Then every engine holds one version

  Scenario: A withdrawn version is unloaded and not loaded again
    Given 6 engines in 3 domains that are configured to serve 2 versions, each with memory for 2
    When the loader runs for 600 s at 0.1 loads per second
    And version "v2" is withdrawn by a revision
    And the loader runs for 600 s at 0.1 loads per second
    Then no engine holds "v2"

  Scenario: An order without effect is issued again after its timeout
    Given 1 engines in 1 domains that are configured to serve 1 versions, each with memory for 2
    When the loader orders a load and the order is lost
    Then the order is issued again only after 120 s

  Scenario: No load is ordered while the weight store asks to wait
    Given 1 engines in 1 domains that are configured to serve 1 versions, each with memory for 2
    When the weight store asks to wait for 30 s
    Then no load is ordered before that time
