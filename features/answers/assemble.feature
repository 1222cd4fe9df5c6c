Feature: An entry accepts only the whole answer to its own attempt

  Scenario Outline: <fault> is <result>
    Given the events of an attempt in 4 frames
    When <fault> befalls them
    Then the answer is <result>

    Examples:
      | fault                          | result  |
      | nothing                        | whole   |
      | a frame of another attempt     | whole   |
      | the final of another attempt   | whole   |
      | a repeated frame               | whole   |
      | a missing frame                | damaged |
      | two frames swapped             | damaged |
      | a changed byte                 | damaged |
      | a cut before the final         | cut     |
      | a missing last frame           | damaged |
      | a final with a wrong count     | damaged |
      | a second final                 | damaged |
      | a frame after the final        | damaged |
      | a cut and a resume             | whole   |
      | frames after the call is given up | cut  |

  Scenario: No damage at random passes as a whole answer
    When 500 random damages befall the events of attempts
    Then each is seen, or the answer is the one that was sent

  Scenario: A buffer keeps what a reader lacks and frees what it has taken
    Given a buffer of 100 bytes that holds 12 frames of 10 bytes
    When a reader has taken 5 frames
    Then the buffer holds under 100 bytes and a resume at 5 gives 7 frames and the end
    And a resume at 0 is damaged

  Scenario: A store frees ended answers by age and by size
    Given a store of 100 bytes that holds 5 ended answers of 30 bytes and one that runs
    When it expires at once and then after 60 seconds
    Then it holds 3 ended answers and later none, and the one that runs
