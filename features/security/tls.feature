Feature: Keys and certificates

  Scenario: A certificate is replaced while the server answers
    Given a server with a certificate that its clients trust
    When the certificate is replaced by one of a new authority
    Then a connection opened before the change still answers
    And clients of the new authority are answered and those of the old one are not

  Scenario Outline: Files that do not load leave the certificate in use
    Given a server with a certificate that its clients trust
    When the certificate's files are left with <damage>
    Then clients are answered as before and the fault is told
    And once the files fit, the new certificate is in use

    Examples:
      | damage              |
      | a key that misfits  |
      | a cut certificate   |
      | no certificate      |

  Scenario: Internal connections need a certificate of the private authority
    Given a server that asks its clients for a certificate
    Then a client with a certificate is answered and one without is not

  Scenario: Calls between processes run over TLS and go on after a new certificate
    Given two processes with certificates of a private authority
    Then a call between them is answered, one without a certificate or without TLS is not
    And after new certificates are in place new connections use them

  Scenario: Files are read at most once a second
    Given a server with a certificate that its clients trust
    Then 100 polls within a second read the files once

  Scenario Outline: Keys are compared whole
    Then internal key "<presented>" against "<expected>" is <verdict>

    Examples:
      | presented | expected | verdict |
      | abc       | abc      | right   |
      | abd       | abc      | wrong   |
      | ab        | abc      | wrong   |
      |           |          | wrong   |
      | é         | abc      | wrong   |

  Scenario: A new key is shown once and hidden afterwards
    When two keys are made
    Then they differ, fit their hashes and are hidden when printed
