Feature: A reply whose head is malformed is no answer

  # Guards against a malformed status that reaches the caller as that of an answer.
  Scenario Outline: A reply with an invalid status is no answer: <fault>
    Given a gateway with two upstreams
    When requests of each kind meet a first reply with <fault>
    Then none gets that reply, and only those that may run again do

    Examples:
      | fault                       |
      | status 000                  |
      | status 000 without a reason |
      | status 099                  |
      | status 101                  |
      | status 20                   |
      | status 2000                 |
      | status +20                  |
      | a status with a tab         |
      | status 600                  |
      | status 999                  |

  # Guards against a malformed field that is passed on, or that hides the end of the head.
  Scenario Outline: A reply with an invalid field name is no answer: <fault>
    Given a gateway with two upstreams
    When requests of each kind meet a first reply with <fault>
    Then none gets that reply, and only those that may run again do

    Examples:
      | fault                         |
      | a name with a blank in it     |
      | a name with a blank after it  |
      | a name with a blank before it |
      | a name with a tab             |
      | a name with byte 0            |
      | a name with byte 1            |
      | a name with a carriage return |
      | a name with byte 127          |
      | a name in Latin-1             |
      | an empty name                 |
      | a line without a colon        |

  # Guards against bytes of another protocol, or of none, that are passed on as an answer.
  Scenario Outline: A reply in another version of HTTP is no answer: <fault>
    Given a gateway with two upstreams
    When requests of each kind meet a first reply with <fault>
    Then none gets that reply, and only those that may run again do

    Examples:
      | fault            |
      | version HTTP/2.0 |
      | version HTTP/0.9 |

  # Guards against control bytes that callers' parsers may refuse or read as the end of a line.
  Scenario Outline: A reply with a control byte in a field's value is no answer: <fault>
    Given a gateway with two upstreams
    When requests of each kind meet a first reply with <fault>
    Then none gets that reply, and only those that may run again do

    Examples:
      | fault                 |
      | a value with byte 1   |
      | a value with byte 127 |

  # Guards against an unexpected error that cuts the caller's connection without an answer: the
  # parser of the reply takes both fields, and the caller's side refuses to send both.
  Scenario: A reply with a length and chunks is no answer
    Given a gateway with two upstreams
    When requests of each kind meet a first reply with a length and chunks
    Then none gets that reply, and only those that may run again do
