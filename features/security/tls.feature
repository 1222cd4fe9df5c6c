Feature: Internal keys, and TLS certificates that are replaced while in use

  Scenario: A certificate is replaced while the server is running
    Given a server with a certificate that its clients trust
    When the certificate is replaced by one of a new authority
    Then a connection opened before the change still works
    And clients that trust the new authority are answered and those that trust the old one are not

  Scenario Outline: The old certificate stays in use if the new files can't be loaded
    Given a server with a certificate that its clients trust
    When the certificate's files are replaced with <defect>
    Then clients are answered as before and the error is recorded
    And once the files match, the new certificate is in use

    Examples:
      | defect                                  |
      | a key of another certificate            |
      | a truncated certificate                 |
      | no certificate                          |

  Scenario: Internal connections need a certificate of the private authority
    Given a server that requires a certificate of its clients
    Then a client with a certificate is answered and one without is not

  Scenario: Calls between processes run over TLS and continue after a change of certificates
    Given two processes with certificates of a private authority
    Then a call between them is answered, one without a certificate or without TLS is not
    And after the certificates are replaced, new connections use the new ones

  Scenario: Certificate files are read at most once per second
    Given a server with a certificate that its clients trust
    Then 100 polls within a second read the files once

  Scenario Outline: A key must match entirely
    Then internal key "<presented>" against "<expected>" is <verdict>

    Examples:
      | presented | expected | verdict |
      | abc       | abc      | right   |
      | abd       | abc      | wrong   |
      | ab        | abc      | wrong   |
      |           |          | wrong   |
      | é         | abc      | wrong   |

  Scenario: A new key is shown once and hidden afterwards
    When two keys are generated
    Then they differ, match their hashes and are hidden when printed
