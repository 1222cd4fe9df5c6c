Feature: Experiments repeat exactly and show what they claim

  Scenario Outline: An experiment gives the same figures twice from one seed
    Then "<trial>" gives the same figures twice with seed 11
    And "<trial>" gives other figures with seed 12

    Examples:
      | trial    |
      | exposure |
      | cluster  |
      | cost     |

  Scenario: A bad version's exposure is bounded over seeds
    Given roll-outs of a version with half of its answers bad on "delta" for 8 seeds
    Then each is withdrawn, with at most 60 of its answers given
    And no answer of it starts after the withdrawal is in force

  Scenario: Results are written as JSON and PNG
    Given a small table of results
    Then it is written as JSON and as PNG and printed with aligned columns

  Scenario Outline: Bad arguments are refused with their range
    Then running "<name>" for "<sizes>" fails with "<message>"

    Examples:
      | name     | sizes | message      |
      | unknown  | delta | name must be |
      | exposure | mars  | sizes must   |

  Scenario Outline: A domain that operators take out gets no new work past the bound
    Given 90 s of "sfax" whose domain leaves at 60 s, entries and agents "<told>"
    Then every request that ended was answered: <answered>
    And attempts sent to the domain past the bound: <late>

    Examples:
      | told                     | answered | late |
      | expected_wait, told      | yes      | none |
      | least_in_flight, not told | no      | some |

  Scenario: The state at the letter's size grows as the page says
    Then the placement of a request looks at no more upstreams at 3500 than at 1600
