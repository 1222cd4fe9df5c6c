Feature: Loads of versions keep to the weight store's rate and the engines' memory

  Scenario: Every engine gets its versions within rate, memory and fencing
    Given 6 engines in 3 domains that shall serve 2 versions, with memory for 2
    When the loader runs for 600 s at 0.1 loads a second
    Then every engine holds both versions
    And never more than 2 loads and 0.1 a second were ordered
    And the first copies of each version are in 3 domains

  Scenario: No engine is ordered to load more than it can hold
    Given 6 engines in 3 domains that shall serve 2 versions, with memory for 1
    When the loader runs for 600 s at 0.1 loads a second
    Then every engine holds one version

  Scenario: A withdrawn version is unloaded and not loaded again
    Given 6 engines in 3 domains that shall serve 2 versions, with memory for 2
    When the loader runs for 600 s at 0.1 loads a second
    And version "v2" is withdrawn by a revision
    And the loader runs for 600 s at 0.1 loads a second
    Then no engine holds "v2"

  Scenario: An order without effect is given again after its timeout
    Given 1 engines in 1 domains that shall serve 1 versions, with memory for 2
    When the loader orders and the order is lost
    Then it is given again only after 120 s

  Scenario: The weight store's refusal is kept to
    Given 1 engines in 1 domains that shall serve 1 versions, with memory for 2
    When the weight store asks to wait for 30 s
    Then no load is ordered before
