Feature: The document determines which versions a customer may use

  Scenario: A customer may use only versions that its own patterns and the model's owner allow
    Given a document with members "delta" and "sfax"
    Then customer "delta/coop" may use version "delta/assess@v1"
    And customer "delta/coop" may not use version "delta/assess@v2"
    And customer "delta/coop" may use version "sfax/log@v1"
    And customer "sfax/shift" may not use version "delta/assess@v1"
