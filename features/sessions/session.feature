Feature: A session keeps its version

  Scenario: Another entry reads the claim from a token
    Given a token signed with key "one"
    Then an entry with keys "one" reads the claim of customer "d/c"

  Scenario Outline: Forged tokens are refused with a code
    Given a token signed with key "one"
    When the token is <forged>
    Then an entry with keys "<keys>" refuses it for customer "<customer>" as <code>

    Examples:
      | forged                           | keys | customer | code       |
      | kept                             | two  | d/c      | bad_header |
      | kept                             | one  | d/one    | forbidden  |
      | given another payload            | one  | d/c      | bad_header |
      | given another key id             | one  | d/c      | bad_header |
      | given a plain version as payload | one  | d/c      | bad_header |
      | missing its last character       | one  | d/c      | bad_header |
      | missing its signature            | one  | d/c      | bad_header |
      | replaced by an empty text        | one  | d/c      | bad_header |
      | replaced by dots                 | one  | d/c      | bad_header |
      | signed with non-ASCII characters | one  | d/c      | bad_header |
      | extended to a very long text     | one  | d/c      | bad_header |

  Scenario Outline: Keys rotate without losing a session
    Given a token signed with key "<signer>"
    Then an entry with keys "<keys>" reads the claim of customer "d/c"

    Examples: the new key second, then first, then alone
      | signer | keys    |
      | old    | old,new |
      | old    | new,old |
      | new    | new,old |
      | new    | new     |

  Scenario Outline: Decision about the next request of a session
    Given a session on "<version>" of customer "<customer>" with upstream "d/u0"
    When <event>
    Then the decision for a caller that <may> is <decision>

    Examples:
      | version | customer | event                                 | may       | decision                |
      | d/m@v1  | d/c      | nothing happens                       | must stay | keep d/m@v1 at d/u0     |
      | d/m@v1  | d/c      | nothing happens                       | may move  | keep d/m@v1 at d/u0     |
      | d/m@v1  | d/c      | the document withdraws v1             | must stay | refuse version_withdrawn|
      | d/m@v1  | d/c      | the document withdraws v1             | may move  | move                    |
      | d/m@v1  | d/c      | a notice withdraws v1                 | must stay | refuse version_withdrawn|
      | d/m@v2  | d/c      | a notice withdraws v1                 | must stay | keep d/m@v2 at d/u0     |
      | d/m@v2  | d/one    | nothing happens                       | may move  | refuse model_not_allowed|
      | d/m@v9  | d/c      | nothing happens                       | must stay | refuse version_withdrawn|
      | d/m@v1  | d/c      | domain a is taken out of service      | must stay | keep d/m@v1 at          |
      | d/m@v1  | d/c      | upstream d/u0 leaves                  | must stay | keep d/m@v1 at          |
