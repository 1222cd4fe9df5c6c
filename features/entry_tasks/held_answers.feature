Feature: Answers without end don't take an entry's memory

  # Guards against an entry that keeps the answers of faulty upstreams until it has no memory left,
  # and whose other callers lose their requests with it.
  Scenario Outline: Answers that grow without end are dropped one after the other, and small ones arrive: <n>
    Given an entry whose <n> requests are answered without end, and 4 others soundly
    When each upstream sends parts of 65536 bytes in turn, up to 8 MiB each, and the sound ones end
    Then the entry has held at most 24 MiB, and holds nothing at the end
    And the 4 sound answers have been delivered
    And each dropped attempt was cancelled at its agent

    Examples:
      | n  |
      | 2  |
      | 24 |

  # Guards against memory that stays counted after a request has ended, until all answers are dropped.
  Scenario Outline: The memory of an answer is free again once its request has ended: <end>
    Given an entry whose 1 requests are answered without end, and 0 others soundly
    When an upstream sends 65536 bytes, and then <end>
    Then the entry has held at most 24 MiB, and holds nothing at the end

    Examples:
      | end                        |
      | the answer ends            |
      | the attempt fails          |
      | the caller disconnects     |
      | the deadline passes        |
