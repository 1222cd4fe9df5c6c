Feature: Operators manage their own member through the operators' API

  Background:
    Given an entry that has the trial document in force

  Scenario Outline: A request without an operator's key is refused
    When <method> <path> is called with key "<key>"
    Then the answer is 401 with code "invalid_api_key" at step "authenticate"

    Examples:
      | method | path         | key                         |
      | GET    | config       |                             |
      | PUT    | config       | demo-delta-coop-ke-sach     |
      | POST   | config/check | demo-delta-operator         |
      | GET    | usage        | demo-delta-operator-other   |
      | GET    | status       | x                           |
      | PUT    | domains/can-tho | demo-sfax-archive        |
      | POST   | rollouts     |                             |
      | POST   | withdrawals  |                             |

  Scenario: An entry without a configuration is not ready
    Given no document has been put in force
    When GET config is called with key "demo-delta-operator-water-desk"
    Then the answer is 503 with code "not_ready" at step "authenticate"

  Scenario Outline: Invalid input is refused with an error code
    When "delta" calls <method> <path> with body <body>
    Then the answer is <status> with code "<code>" at step "<step>"
    And nothing was published

    Examples:
      | method | path            | body                                     | status | code           | step         |
      | PUT    | config          | {                                        | 400    | bad_json       | parse        |
      | PUT    | config          | {"base": "x", "document": ""}            | 400    | bad_request    | parse        |
      | PUT    | config          | {"base": 1, "document": "", "x": 1}      | 400    | bad_request    | parse        |
      | PUT    | config          | {"base": 1, "document": "a ="}           | 422    | config_invalid | parse        |
      | PUT    | config          | {"base": 9, "document": ""}              | 409    | conflict       | apply        |
      | PUT    | domains/hanoi   | {"state": "out"}                         | 404    | not_found      | admin        |
      | PUT    | domains/sfax-a  | {"state": "out"}                         | 404    | not_found      | admin        |
      | PUT    | domains/can-tho | {"state": "away"}                        | 400    | bad_request    | parse        |
      | POST   | rollouts        | {"model": "assess-small"}                | 400    | bad_request    | parse        |
      | POST   | rollouts        | {"model": "log-small", "version": "v2"}  | 422    | config_invalid | check        |
      | POST   | withdrawals     | {"version": "sfax/log-small@v1"}         | 403    | forbidden      | edit_document |
      | POST   | withdrawals     | {"version": "assess-small@v9"}           | 404    | not_found      | edit_document |
      | GET    | usage?since=x   | - | 400    | bad_request    | parse        |
      | GET    | usage?since=9&until=8 | - | 400    | bad_request    | parse        |
      | GET    | config/history?n=0 | - | 400    | bad_request    | parse        |

  Scenario: A member sees nothing of another member
    When "sfax" asks for configuration, history, usage, roll-outs and status
    Then no answer names a customer, an upstream, an operator or a count of "delta"

  Scenario: A change is planned, applied and seen in the history
    When "delta" plans and applies the weight 3.5 for customer "coop-ke-sach"
    Then both replies contain only a change of "members.delta.customers.coop-ke-sach.weight"
    And revision 2 is in force with author "delta/water-desk"

  Scenario: A document that changes another member's section is refused
    When "delta" applies a document with the weight 3.5 for customer "archive" of "sfax"
    Then the change is refused with code "forbidden"
    And nothing was published

  Scenario: All problems of a member's own section are reported with the file name
    When "delta" applies the weight -1 for customer "coop-ke-sach"
    Then the change is refused with code "config_invalid"
    And the error names "my.toml", "coop-ke-sach.weight" and "in [0.01, 1000]"

  Scenario Outline: Request bodies of operators have a separate size limit
    Given customers' request bodies are limited to 1000 bytes
    When "delta" applies a document of <size> bytes
    Then the change is refused with code "<code>"

    Examples:
      | size    | code           |
      | 3000000 | config_invalid |
      | 4500000 | config_invalid |
      | 5300000 | body_too_large |

  Scenario: Two operators of a member change the same revision
    Given both operators of "delta" have read revision 1
    When the first applies the weight 3.5 and the second the weight 4.5 for "coop-ke-sach"
    Then the second is refused with a conflict that names revision 2

  Scenario: Changes by operators of two members do not conflict
    Given "delta" has read revision 1
    When "sfax" changes its section 3 times, once during the publication by "delta"
    And "delta" applies its change
    Then all 4 changes are in force

  Scenario Outline: Domains are taken out of service and versions withdrawn even while the store is unavailable
    Given the store is <store>
    When "delta" takes domain "can-tho" out of service and withdraws "assess-small@v2"
    Then both are accepted by <means>
    And roll-out "assess-small-v2" of the document is <state>

    Examples:
      | store | means    | state     |
      | up    | revision | withdrawn |
      | down  | notice   | running   |

  Scenario: A change of the document is refused with its reason while the store is unavailable
    Given the store is down
    When "delta" applies the weight 3.5 for customer "coop-ke-sach"
    Then the change is refused with code "platform_down"
    And the response says when to retry

  Scenario: The client tries the next entry and reports a lost response
    Then a client whose first address is unreachable is answered by the second
    And a client with only an unreachable address gets an error that no entry answered
    And a client whose response is lost gets an error that its change may be in force
