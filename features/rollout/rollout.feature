Feature: A roll-out exposes a new version in stages, withdraws a bad one, and resumes after a crash at any step
  A contact is a session, or a request outside a session.

  Scenario Outline: A first contact gets a version according to the roll-out's state and stage
    Given a roll-out of "v2" over "v1" that is <state> at stage <stage>
    Then of 2000 contacts of "<customer>" between <low> and <high> get "v2"

    Examples:
      | state     | stage | customer | low  | high |
      | running   | 0     | coop     | 5    | 40   |
      | running   | 2     | coop     | 340  | 460  |
      | running   | 4     | coop     | 2000 | 2000 |
      | running   | 4     | bound    | 0    | 0    |
      | withdrawn | 4     | coop     | 0    | 0    |
      | paused    | 4     | coop     | 0    | 0    |
      | complete  | 0     | coop     | 2000 | 2000 |
      | notified  | 4     | coop     | 0    | 0    |

  Scenario: A contact that got the new version at a stage gets it at every later stage
    Given a roll-out of "v2" over "v1" that is running at stage 0
    Then contacts keep the new version through all stages

  Scenario: A request for a model whose versions are all withdrawn is refused with an error code
    Given a roll-out of "v2" over "v1" that is withdrawn at stage 0
    And version "v1" is withdrawn by a notice
    Then a contact is refused with VERSION_WITHDRAWN

  Scenario: A bad version is withdrawn after few answers and a good one hardly ever, over many seeds
    Given a current version with 4 of 100 answers bad
    Then a version with 50 of 100 answers bad is withdrawn in 40 of 40 runs within 40 answers
    And a version with 20 of 100 answers bad is withdrawn in 40 of 40 runs within 600 answers
    And a version with 4 of 100 answers bad is withdrawn in at most 1 of 40 runs

  Scenario: The exposure is paused when answers are no longer rated, until ratings return
    Given a roll-out of "v2" over "v1" that is running at stage 0
    When 20 answers of "v2" are rated good and 500 are not rated
    Then the policy decides to pause
    When 200 answers of "v2" are rated good and 500 are not rated
    Then the paused policy decides to resume

  Scenario: Reports of entries are added up once, in any order, even if repeated or late
    Then shuffled and repeated reports give the same counts in each of 100 examples

  Scenario Outline: A controller that is killed at any step is replaced by one that resumes the roll-out
    Given a version whose answers are <quality>
    When the controller is killed after every step and another takes over
    Then the roll-out ends as <state> and the configuration document agrees
    And no write of a former controller was accepted

    Examples:
      | quality | state     |
      | good    | complete  |
      | bad     | withdrawn |

  Scenario: A stale controller's write is refused
    Given a roll-out of "v2" over "v1" that is running at stage 1
    When a controller with lease 4 takes over the roll-out from one with lease 3
    Then the former controller's late write is refused
    And a repeat of the present controller's last write is refused
    And the former controller issues no command for the newer row

  Scenario: An operator withdraws a version during its roll-out
    Given a roll-out of "v2" over "v1" that is running at stage 3
    When version "v2" is withdrawn by a notice
    Then the controller writes the row as withdrawn

  Scenario Outline: A version that is not shown to be harmless in time is withdrawn
    Given a roll-out of "v2" over "v1" that is running at stage 1
    When <bad> of 300 rated answers of "v2" are bad after <stages> times the stage's duration
    Then the policy decides to <action>

    Examples:
      | bad | stages | action   |
      | 27  | 3.9    | hold     |
      | 27  | 4.0    | withdraw |
      | 9   | 4.0    | advance  |
