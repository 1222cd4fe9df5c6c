Feature: Ports for parts of a demo that must know each other before they listen

  Scenario: No connection takes a port that was found free before it is used
    When 200 free ports are found
    Then no two are equal and all are below those that the kernel gives to connections

  Scenario: A port in use is passed over
    Given the next port is in use
    When 1 free ports are found
    Then it is another one
