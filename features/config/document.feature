Feature: A document is read completely or refused with every problem

  Scenario Outline: The shipped documents are valid and contain both deployments
    Given the document examples/<environment>.toml
    Then it is valid for environment "<environment>"
    And member "<member>" has <domains> domains, <engines> engines and <customers> customers
    And member "<member>" has classes of all four kinds, a roll-out and a cascade
    And member "<member>" has one repeatable and one other plain service

    Examples:
      | environment | member | domains | engines | customers |
      | trial       | delta  | 3       | 9       | 10        |
      | trial       | sfax   | 3       | 9       | 10        |
      | production  | delta  | 3       | 9       | 10        |
      | production  | sfax   | 3       | 9       | 10        |
