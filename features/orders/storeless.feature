Feature: Strategies for orders while the store is unavailable

  An hour without the store, with one order per second for three agents. One answer in fifty is lost
  and its order is repeated within a minute, each agent is restarted on average every 20 minutes, and
  one of three failure domains is withdrawn from minute 20 to minute 40. A home agent is the agent
  that the hash of an order's key selects; a ticket records the home agent and its boot at the first
  call of a key, and a repeat runs nowhere else.

  Scenario: Orders run twice at a home agent without tickets, but not with tickets or if refused
    When the hour is simulated with seed 7 for each strategy
    Then refusing ran no order, a home agent by hash ran some orders twice, and one with tickets ran none twice
