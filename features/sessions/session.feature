Feature: A session keeps its version

  Scenario: A token carries its claim to another entry
    Given a token signed with key "one"
    Then an entry with keys "one" reads the claim of customer "d/c"

  Scenario Outline: Forged tokens are refused with a code
    Given a token signed with key "one"
    When the token is <forged>
    Then an entry with keys "<keys>" refuses it for customer "<customer>" as <code>

    Examples:
      | forged                    | keys | customer | code       |
      | kept                      | two  | d/c      | bad_header |
      | kept                      | one  | d/one    | forbidden  |
      | given another payload     | one  | d/c      | bad_header |
      | given another key name    | one  | d/c      | bad_header |
      | given a version by hand   | one  | d/c      | bad_header |
      | cut by its last character | one  | d/c      | bad_header |
      | cut before its signature  | one  | d/c      | bad_header |
      | made empty                | one  | d/c      | bad_header |
      | made of dots              | one  | d/c      | bad_header |
      | made of other alphabets   | one  | d/c      | bad_header |
      | made very long            | one  | d/c      | bad_header |

  Scenario Outline: Keys rotate without losing a session
    Given a token signed with key "<signer>"
    Then an entry with keys "<keys>" reads the claim of customer "d/c"

    Examples: the new key second, then first, then alone
      | signer | keys    |
      | old    | old,new |
      | old    | new,old |
      | new    | new,old |
      | new    | new     |

  Scenario Outline: What becomes of a session's next request
    Given a session on "<version>" of customer "<customer>" with upstream "d/u0"
    When <event>
    Then the decision for a caller that <may> is <decision>

    Examples:
      | version | customer | event                                 | may       | decision                |
      | d/m@v1  | d/c      | nothing happens                       | stays     | keep d/m@v1 at d/u0     |
      | d/m@v1  | d/c      | nothing happens                       | may move  | keep d/m@v1 at d/u0     |
      | d/m@v1  | d/c      | the document withdraws v1             | stays     | refuse version_withdrawn|
      | d/m@v1  | d/c      | the document withdraws v1             | may move  | move                    |
      | d/m@v1  | d/c      | a notice withdraws v1                 | stays     | refuse version_withdrawn|
      | d/m@v2  | d/c      | a notice withdraws v1                 | stays     | keep d/m@v2 at d/u0     |
      | d/m@v2  | d/one    | nothing happens                       | may move  | refuse model_not_allowed|
      | d/m@v9  | d/c      | nothing happens                       | stays     | refuse version_withdrawn|
      | d/m@v1  | d/c      | domain a is out                       | stays     | keep d/m@v1 at          |
      | d/m@v1  | d/c      | upstream d/u0 leaves                  | stays     | keep d/m@v1 at          |
