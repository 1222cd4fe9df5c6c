Feature: An entry accepts only the complete answer to its own attempt

  Scenario Outline: <fault> is <result>
    Given the events of an attempt in 4 frames
    When <fault> is injected
    Then the answer is <result>

    Examples:
      | fault                                  | result  |
      | nothing                                | whole   |
      | a frame of another attempt             | whole   |
      | the final event of another attempt     | whole   |
      | a repeated frame                       | whole   |
      | a missing frame                        | damaged |
      | two frames swapped                     | damaged |
      | a changed byte                         | damaged |
      | an interruption before the final event | cut     |
      | a missing last frame                   | damaged |
      | a final event with a wrong frame count | damaged |
      | a second final event                   | damaged |
      | a frame after the final event          | damaged |
      | an interruption and a resume           | whole   |
      | frames after the call is abandoned     | cut     |

  Scenario: No random corruption passes as a complete answer
    When 500 random corruptions are applied to the events of attempts
    Then each is detected, or the answer is the one that was sent

  Scenario: A buffer retains frames that a reader lacks and frees delivered ones
    Given a buffer of 100 bytes that holds 12 frames of 10 bytes
    When a reader has received 5 frames
    Then the buffer holds under 100 bytes and a resume from frame 5 returns 7 frames and the end
    And a resume from frame 0 fails with the code ANSWER_DAMAGED

  Scenario: A store frees ended answers by age and by size
    Given a store of 100 bytes that holds 5 ended answers of 30 bytes and one that is still running
    When it frees expired answers at once and again after 60 seconds
    Then it holds 3 ended answers at first and none the second time, and the running one remains
