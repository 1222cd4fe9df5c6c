Feature: Experiments are reproducible and show the properties that they claim

  Scenario Outline: An experiment gives the same figures for the same seed
    Then "<trial>" gives the same figures twice with seed 11
    And "<trial>" gives different figures with seed 12

    Examples:
      | trial    |
      | exposure |
      | cluster  |
      | cost     |

  Scenario: The number of answers by a bad version is bounded for several seeds
    Given roll-outs of a version with half of its answers bad on "delta" for 8 seeds
    Then each roll-out is withdrawn, with at most 60 answers by its version
    And no answer by that version starts after all entries have applied the withdrawal

  Scenario: Results are written as JSON and PNG files
    Given a table of two results
    Then the table is written as JSON and as PNG and formatted with aligned columns

  Scenario Outline: Invalid arguments are refused, and the error names the valid values
    Then running "<name>" for "<sizes>" fails with "<message>"

    Examples:
      | name     | sizes | message      |
      | unknown  | delta | name must be |
      | exposure | mars  | sizes must   |

  Scenario Outline: A domain that operators take out of service gets no new attempts after the bound
    Given a run of 90 s of "sfax" with a domain taken out of service at 60 s and with routing and publication "<variant>"
    Then all requests that ended were answered: <answered>
    And attempts sent to the domain after the bound: <late>

    Examples:
      | variant                   | answered | late |
      | expected_wait, told       | yes      | none |
      | least_in_flight, not told | no      | some |

  Scenario: The work of a placement and the size of a configuration delta stay the same up to the required number of upstreams
    Then placing a request considers no more upstreams at 3500 upstreams than at 1600, and a configuration delta has the same size
