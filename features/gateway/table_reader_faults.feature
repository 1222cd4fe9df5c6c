Feature: A fault of a reader or a link delays the changes of the store's tables by little

  Scenario Outline: All gateways know a change in time though <fault>
    Given <n> gateways in <domains> failure domains, with a fifth of the datagrams lost
    When <fault> and a configuration and an upstream's leaving are written, <times> times
    Then each sound gateway knows the changes within 3 s

    Examples:
      | n  | domains | fault                                           | times |
      | 4  | 1       | nothing fails                                   | 3 |
      | 24 | 3       | nothing fails                                   | 6 |
      | 68 | 5       | nothing fails                                   | 3 |
      | 4  | 1       | the next two messages of each gateway are lost  | 3 |
      | 24 | 3       | the next two messages of each gateway are lost  | 6 |
      | 68 | 5       | the next two messages of each gateway are lost  | 3 |
      | 4  | 1       | a reader is killed                              | 2 |
      | 24 | 3       | a reader is killed                              | 6 |
      | 68 | 5       | a reader is killed                              | 3 |
      | 24 | 3       | both readers of a failure domain are killed     | 6 |
      | 24 | 3       | a reader is cut off from the store              | 6 |
      | 68 | 5       | a reader is cut off from the store              | 3 |
      | 24 | 3       | a reader is frozen                              | 6 |
      | 68 | 5       | a reader is frozen                              | 3 |
      | 24 | 3       | both readers of a failure domain are frozen     | 6 |
      | 4  | 1       | a reader reports changes that it doesn't have   | 3 |
      | 24 | 3       | a reader reports changes that it doesn't have   | 6 |
      | 68 | 5       | a reader reports changes that it doesn't have   | 3 |
      | 24 | 3       | a reader's calls return no changes              | 6 |
      | 24 | 3       | the history of changes is discarded             | 6 |
      | 24 | 3       | both readers restart after the history is lost  | 6 |
