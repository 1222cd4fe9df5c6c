Feature: The agent serves attempts of its upstream

  Scenario: A complete answer arrives in numbered frames with a final event
    Given an agent whose engine answers in 5 chunks
    When an entry runs an attempt
    Then the frames and the final event form a complete answer of 5 chunks

  Scenario Outline: <case>
    When this case is checked at an agent: <case>
    Then all checks of the case have passed

    Examples:
      | case                                                               |
      | an interrupted answer is resumed where it stopped                  |
      | an attempt continues after its entry has disconnected              |
      | a long answer waits for its reader and is complete                 |
      | a cancellation reaches the engine                                  |
      | an order that was sent is not cancelled                            |
      | an order that ends after its deadline can be fetched               |
      | a revision that the agent lacks is pulled first                    |
      | a notice takes precedence over an older revision                   |
      | the report contains limit, state, boot and revision                |
      | the first token is sent at once, later ones are joined per window  |
      | a version is not unloaded while an attempt with it is running      |
      | loaded versions stay as last read while the engine does not answer |
