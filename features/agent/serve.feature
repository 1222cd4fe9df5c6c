Feature: The agent serves attempts of its upstream

  Scenario: A whole answer arrives in numbered frames with a final
    Given an agent whose engine answers in 5 parts
    When an entry runs an attempt
    Then the frames and the final tell a whole answer of 5 parts

  Scenario Outline: <case>
    When this is played at an agent: <case>
    Then it went as it should

    Examples:
      | case                                                   |
      | an answer resumes at its place after a cut             |
      | an attempt goes on after its entry is cut off          |
      | a long answer waits for its reader and is whole        |
      | a cancel reaches the engine                            |
      | an order that was sent is not cancelled                |
      | an order that ends after its deadline can be fetched   |
      | a revision that the agent lacks is fetched first       |
      | a notice wins over an older revision                   |
      | the report tells limit, state, boot and revision       |
      | tokens go out at once, then joined by the window       |
      | a version is not unloaded under its attempt            |
      | a silent engine's loaded versions stay as known        |
