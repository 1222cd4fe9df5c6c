Feature: Strategies for orders while the store is unavailable

  An hour without the store, with one order per second for three agents. One answer in fifty is lost
  and its order is repeated within a minute, each agent is restarted on average every 20 minutes, and
  one of three failure domains is withdrawn from minute 20 to minute 40.

  Scenario: Refusing runs no order twice, but a home agent without tickets does
    When the hour is simulated with seed 7 for each strategy
    Then refusing ran none, a home agent by hash ran some twice, and one with tickets ran none twice
