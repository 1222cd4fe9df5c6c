Feature: Ways to honour orders while the store is out

  An hour without the store: one order a second for three agents, one answer in fifty lost and its
  order repeated within a minute, each agent restarted on average every 20 minutes, and one failure
  domain of three out from minute 20 to minute 40.

  Scenario: Refusing runs nothing twice, and a home agent without tickets does
    When the hour is played with seed 7 for each way
    Then refusing ran none, a home agent by hash doubled some, and a ticketed home agent doubled none
