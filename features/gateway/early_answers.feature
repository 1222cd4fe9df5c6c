Feature: An upstream that answers before it has read the whole request

  # Guards against a part of an answer that passes as the whole one: the reset that cuts the answer
  # is reported to the task that writes the request, and the reader sees a plain end of the
  # connection. Which of them gets it is a matter of chance, so that each case is played often.
  Scenario Outline: An answer without a length that is cut by a reset is none: <path>, reset after <delay> s
    Given a gateway with two upstreams
    And uploads of 6000000 bytes are allowed
    And each answer begins early, and is cut by a reset after <delay> s
    When 12 requests for <path> with such an upload are sent, one after the other
    Then each caller gets <outcome>

    Examples:
      | path      | delay | outcome                                         |
      | /unsafe/1 | 0     | status 502                                      |
      | /unsafe/1 | 0.02  | status 502                                      |
      | /safe/1   | 0.02  | status 502                                      |
      | /once/1   | 0     | status 502 or a recognizably incomplete answer  |
      | /once/1   | 0.02  | status 502 or a recognizably incomplete answer  |
      | /stream/1 | 0.02  | status 502 or a recognizably incomplete answer  |

  # Guards against the loss of an answer that is whole although its request isn't written yet.
  Scenario Outline: An answer without a length that ends while the upload goes on is whole: <path>
    Given a gateway with two upstreams
    And uploads of 6000000 bytes are allowed
    And each answer begins early, and is whole
    When 3 requests for <path> with such an upload are sent, one after the other
    Then each caller gets a whole, signed answer

    Examples:
      | path      |
      | /unsafe/1 |
      | /safe/1   |
      | /once/1   |
