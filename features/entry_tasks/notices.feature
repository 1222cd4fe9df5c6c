Feature: Notices are written to the document though one of them can't be

  Scenario: A notice that can't be written does not block the ones after it
    Given an entry with pending notices on the domains d/gone, d/a and d/b, of which d/gone can't be written
    When it writes pending notices
    Then the notices on d/a and d/b are written
    And the notice on d/gone is tried again after 5 s, not before
