Feature: Random documents and changes

  Scenario: A document survives being written and read
    Then 80 random documents are written and read back unchanged

  Scenario: Damaged text gives a coded error and nothing else
    Then 300 damaged texts give a document or a configuration error

  Scenario: No change outside an author's section passes
    Then 300 random changes pass the author check only within the author's section
