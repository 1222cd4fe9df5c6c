Feature: The agent serves attempts of its upstream

  Scenario: A whole answer arrives in numbered frames with a final
    Given an agent whose engine answers in 5 parts
    When an entry runs an attempt
    Then the frames and the final tell a whole answer of 5 parts
