Feature: Randomised runs of orders

  Scenario: Loss, repeats, reordering, pauses and restarts never run an order twice
    When 300 randomised runs of 50 steps are made
    Then no order ran twice and every reported outcome was true
