Feature: Ports for components of a demo whose addresses must be known before they listen

  Scenario: No outgoing connection takes a free port before it is bound
    When 200 free ports are found
    Then they are distinct and below the range that the kernel uses for outgoing connections

  Scenario: A port in use is skipped
    Given the next free port becomes used
    When 1 free ports are found
    Then it is a different port

  Scenario: A port in use is recognized also while earlier connections of the port are in TIME_WAIT
    Given a port whose last connection is in TIME_WAIT and that becomes used again
    When a free port is searched from there
    Then another port is found
