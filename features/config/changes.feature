Feature: Changes of the document carry warnings and stay within the author's section

  Scenario Outline: A dangerous change carries a warning
    Given the trial document
    And the line <line> in table members.<table>
    Then the change of "<path>" has the warning "<warning>"

    Examples:
      | table                              | line                | path        | warning                 |
      | delta.models.assess-small.versions.v1 | state = "withdrawn" | state    | current version         |
      | delta.models.assess-small.versions.v2 | state = "withdrawn" | state    | sessions on this        |
      | delta.models.assess-small          | current = "v2"      | current     | with no roll-out        |
      | delta.models.assess-large          | shared_with = []    | shared_with | loses access to this    |
      | delta.domains.can-tho              | state = "out"       | state       | no new work             |
      | delta.customers.coop-ke-sach       | classes = ["sluice-order"] | classes | requests are refused |
      | delta.services.sluice-gates        | repeatable = true   | repeatable  | may be sent twice       |
      | delta.upstreams.assess-1           | cold_limit = 9      | cold_limit  | may be overloaded       |
      | delta.upstreams.assess-1           | warm_limit = 17     | warm_limit  |                         |

  Scenario Outline: Reverting a withdrawal or putting a domain back into service carries a warning
    Given the trial document
    And the line state = "<state>" in table members.<table>
    Then reverting the change of "state" has the warning "<warning>"

    Examples:
      | table                                 | state     | warning                |
      | delta.models.assess-small.versions.v2 | withdrawn | takes new work again   |
      | delta.domains.can-tho                 | out       | takes new work again   |
      | delta.rollouts.assess-small-v2        | withdrawn | had ended runs again   |

  Scenario Outline: Removing an entry carries a warning
    Given the trial document without <table> "<name>" of "delta"
    Then the change of "<name>" has the warning "<warning>"

    Examples:
      | table     | name         | warning                 |
      | domains   | can-tho      | 5 upstreams are in      |
      | models    | assess-small | refused                 |
      | customers | coop-ke-sach | refused                 |
      | upstreams | assess-1     | takes no new work       |

  Scenario Outline: A member's operator changes its own section only
    Given the trial document
    And <change>
    Then the author check of "delta" <verdict>
    And the author check of "sfax" <other verdict>

    Examples:
      | change                                                      | verdict | other verdict |
      | the line state = "out" in table members.delta.domains.can-tho | passes  | fails         |
      | the line state = "out" in table members.sfax.domains.sfax-a   | fails   | passes        |
      | no section of "sfax"                                        | fails   | fails         |
      | environment "production"                                    | fails   | fails         |

  Scenario: A member stops sharing a model although another member refers to it
    Given the trial document
    And the line shared_with = [] in table members.delta.models.assess-large
    Then the change check of "delta" passes
    And once it is in force, the change check of "sfax" passes for a change of a domain

  Scenario: A member sees its own section and the models shared with it
    Given the trial document
    Then "sfax" sees only model "assess-large" of "delta"
    And "delta" sees nothing of "sfax"
    And merging the document that "sfax" sees into the current one changes nothing

  Scenario: Promotion keeps the settings that are specific to the target environment
    Given the trial document
    And the line stage_s = 77.0 in table members.delta.rollouts.assess-small-v2
    And the line agent = "10.9.9.9:7000" in table members.delta.upstreams.assess-1
    When the section of "delta" is promoted to production
    Then only the "rollouts" of "delta" differ in production
