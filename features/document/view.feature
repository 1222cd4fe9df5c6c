Feature: A document tells who may use what

  Scenario: A customer may use only what its member and the owner allow
    Given a document with members "delta" and "sfax"
    Then customer "delta/coop" may use version "delta/assess@v1"
    And customer "delta/coop" may not use version "delta/assess@v2"
    And customer "delta/coop" may use version "sfax/log@v1"
    And customer "sfax/shift" may not use version "delta/assess@v1"
