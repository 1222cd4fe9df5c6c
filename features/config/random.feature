Feature: Random documents and random changes are handled correctly

  Scenario: A document that is written and read back is unchanged
    Then 80 random documents are written and read back unchanged

  Scenario: Corrupt text gives a configuration error and no other exception
    Then 300 corrupted texts give a document or a configuration error

  Scenario: A change outside the author's section fails the author check
    Then 300 random changes pass the author check only within the author's section
